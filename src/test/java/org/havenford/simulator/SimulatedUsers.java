package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.havenford.transport.HttpCalls.Reply;

/**
 * Simulated users who submit, poll, resubmit and cancel jobs. A load balancer sends each request to a controller that is
 * drawn at random.
 */
final class SimulatedUsers {
    /** The network address that all users share. */
    private static final String ADDRESS = "users";

    private static final String SUBMISSIONS_PATH = "/submissions";
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
    private static final int MIN_POLL_MILLIS = 4000;
    private static final int POLL_JITTER_MILLIS = 2000;
    /**
     * The delays after an event at which all controllers are queried about the job, if {@link #queriesAllControllers} is
     * set.
     */
    private static final int[] REPEATED_QUERY_DELAYS_MILLIS = {0, 3, 12, 40};

    private static final int IMAGE_COUNT = 3;

    /** A job, with what its user knows of it and the times at which the user received that. */
    static final class Job {
        String id;
        String team;
        double cpus;
        int tasks;
        double runSeconds;
        String image;
        boolean spot;
        boolean apart;
        boolean together;
        /** The allowed machine types; empty if all are allowed. */
        Set<String> types = Set.of();

        double imageGb = 1;
        String zone;
        String priority = "normal";
        double dueSeconds;
        /** Whether every task of the job fails on every machine, as with an error in the submitted program. */
        boolean alwaysFails;

        boolean accepted;
        /** When the user's cancellation request was confirmed; null before that. */
        Instant cancelConfirmedAt;

        String jobClass = "class";
        Instant submittedAt;
        /** When the first task of the job started; null before that. */
        Instant firstStartedAt;
        /** When a submission or query of the job was last answered. */
        Instant lastAnsweredAt = Instant.EPOCH;

        /** The status in the last answer; a final status is kept. */
        String lastStatus = "";
        /** When an answer first reported the job as done. */
        Instant reportedDoneAt;
        /**
         * When the answer to a query first reported the job as cancelled. If {@link #cancelConfirmedAt} is null, it was
         * cancelled with a prerequisite or its own cancellation has not been confirmed yet.
         */
        Instant reportedCancelledAt;

        final List<String> prerequisites = new ArrayList<>();

        /** Draws the running time of a task: the expected time of the job, plus or minus up to 20%. */
        Duration drawRunTime(SplittableRandom random) {
            return Duration.ofMillis((long) (runSeconds * 1000 * (0.8 + 0.4 * random.nextDouble())));
        }

        /** Returns whether an answer has reported the job as done or cancelled. */
        boolean isKnownToHaveEnded() {
            return reportedDoneAt != null || cancelConfirmedAt != null || reportedCancelledAt != null;
        }

        /** Applies an option of a {@code submit} line of a trace, see src/test/resources/traces/README.md. */
        private void apply(String option) {
            int separator = option.indexOf('=');
            if (separator < 0) {
                applyFlag(option);
            } else {
                applyValue(option.substring(0, separator), option.substring(separator + 1));
            }
        }

        private void applyFlag(String flag) {
            switch (flag) {
                case "broken" -> alwaysFails = true;
                case "apart" -> apart = true;
                case "together" -> together = true;
                case "ordinary" -> spot = false;
                case "urgent", "normal", "low" -> priority = flag;
                default -> throw new IllegalArgumentException("unknown job option: " + flag);
            }
        }

        private void applyValue(String name, String value) {
            switch (name) {
                case "class" -> jobClass = value;
                case "zone" -> zone = value;
                case "types" -> types = Set.of(value.split(","));
                case "image-gb" -> imageGb = Double.parseDouble(value);
                case "awaits" -> prerequisites.addAll(List.of(value.split(",")));
                case "due" -> dueSeconds = Double.parseDouble(value);
                default -> throw new IllegalArgumentException("unknown job option: " + name + "=" + value);
            }
        }
    }

    private final ClusterSimulator simulator;
    private final JobAnswerChecker answerChecker;
    /** The ids of jobs whose cancellation was requested, whatever the answer. */
    final Set<String> cancelRequested = new HashSet<>();

    final Map<String, Job> jobs = new LinkedHashMap<>();
    /** The tasks that have completed successfully, as job/index. */
    final Set<String> completedTasks = new HashSet<>();

    /** The factor by which users poll their jobs more often than by default. */
    int pollRateFactor = 1;

    /**
     * Whether users query and resubmit a job at all controllers within milliseconds of its acceptance, its completion or the
     * confirmation of its cancellation.
     */
    boolean queriesAllControllers;

    SimulatedUsers(ClusterSimulator simulator) {
        this.simulator = simulator;
        this.answerChecker = new JobAnswerChecker(simulator, this);
    }

    /** Queries and resubmits a job several times at every controller, if {@link #queriesAllControllers} is set. */
    void queryAllControllers(Job job) {
        if (!queriesAllControllers) {
            return;
        }
        for (SimulatedController node : simulator.controllers.values()) {
            for (int millis : REPEATED_QUERY_DELAYS_MILLIS) {
                simulator.after(Duration.ofMillis(millis), () -> {
                    query(job.id, node.settings.bind());
                    resubmit(job.id, node.settings.bind());
                });
            }
        }
    }

    /**
     * Submits a job and retries until it is accepted.
     *
     * @param options the options of a {@code submit} line of a trace
     */
    Job submit(String id, String team, int tasks, double cpus, double runS, List<String> options) {
        Job job = new Job();
        job.id = id;
        job.team = team;
        job.tasks = tasks;
        job.cpus = cpus;
        job.runSeconds = runS;
        job.image = "img-" + (Integer.parseInt(id.substring(2)) % IMAGE_COUNT);
        job.spot = true;
        options.forEach(job::apply);
        job.submittedAt = simulator.now;
        jobs.put(id, job);
        postSubmission(job);
        return job;
    }

    /** Returns the submission of a job in the format of the protocol. */
    static JsonObject submissionJson(Job job) {
        JsonObject json = new JsonObject();
        json.addProperty("nameId", job.id);
        json.addProperty("lineup", job.jobClass);
        json.addProperty("crew", job.team);
        json.addProperty("shape", "batch");
        json.addProperty("urgency", job.priority);
        if (job.dueSeconds > 0) {
            json.addProperty("airtimeS", job.dueSeconds);
        }
        json.addProperty("shots", job.tasks);
        addResources(json, job);
        addPlacement(json, job);
        json.addProperty("guessS", job.runSeconds);
        json.addProperty("keyframeS", 0.0);
        json.addProperty("flushS", 0.0);
        if (!job.prerequisites.isEmpty()) {
            JsonArray prerequisites = new JsonArray();
            job.prerequisites.forEach(prerequisites::add);
            json.add("awaits", prerequisites);
        }
        return json;
    }

    private static void addResources(JsonObject json, Job job) {
        json.addProperty("vcpus", job.cpus);
        json.addProperty("cards", 0.0);
        json.addProperty("memGb", 1.0);
        json.addProperty("reel", job.image);
        json.addProperty("imageGb", job.imageGb);
    }

    private static void addPlacement(JsonObject json, Job job) {
        json.addProperty("together", job.together);
        json.addProperty("apart", job.apart);
        json.addProperty("borrowed", job.spot);
        if (job.zone != null) {
            json.addProperty("hall", job.zone);
        }
        if (!job.types.isEmpty()) {
            JsonArray types = new JsonArray();
            job.types.stream().sorted().forEach(types::add);
            json.add("rigs", types);
        }
    }

    private String randomAddress() {
        List<SimulatedController> controllers = List.copyOf(simulator.controllers.values());
        return controllers
                .get(simulator.random.nextInt(controllers.size()))
                .settings
                .bind();
    }

    private void postSubmission(Job job) {
        boolean prerequisitesAccepted = job.prerequisites.stream().allMatch(id -> jobs.get(id).accepted);
        post(
                randomAddress(),
                SUBMISSIONS_PATH,
                submissionJson(job).toString(),
                reply -> onSubmissionAnswered(job, prerequisitesAccepted, reply));
    }

    private void onSubmissionAnswered(Job job, boolean prerequisitesAccepted, Reply reply) {
        int status = reply.status();
        boolean prerequisiteUnknown = status == 422 && !prerequisitesAccepted;
        if (status == 201 || status == 200) {
            onAccepted(job);
        } else if ((status == 400 || status == 422) && !prerequisiteUnknown) {
            simulator.invariants.recordViolation("forgotten", job.id + " was rejected with status " + status);
        } else {
            simulator.after(RETRY_DELAY, () -> postSubmission(job));
        }
    }

    private void onAccepted(Job job) {
        boolean first = !job.accepted;
        if (first) {
            simulator.logLine(job.id + " accepted");
        }
        job.accepted = true;
        job.lastAnsweredAt = simulator.now;
        poll(job);
        if (first) {
            queryAllControllers(job);
        }
    }

    private void poll(Job job) {
        int rateFactor = Math.max(1, pollRateFactor);
        int millis = (MIN_POLL_MILLIS + simulator.random.nextInt(POLL_JITTER_MILLIS)) / rateFactor;
        simulator.after(Duration.ofMillis(millis), () -> {
            JobAnswerChecker.Query query = answerChecker.newQuery(job);
            get(randomAddress(), job, reply -> {
                answerChecker.check(query, reply);
                if (!job.isKnownToHaveEnded() || simulator.random.nextInt(3) > 0) {
                    poll(job);
                }
            });
        });
    }

    private void post(String address, String path, String body, Consumer<Reply> done) {
        SimulatedNetwork.Request request = new SimulatedNetwork.Request("POST", path, body, CHANGE_TIMEOUT);
        simulator.network.call(ADDRESS, address, request, done);
    }

    private void get(String address, Job job, Consumer<Reply> done) {
        SimulatedNetwork.Request request =
                new SimulatedNetwork.Request("GET", SUBMISSIONS_PATH + "/" + job.id, null, QUERY_TIMEOUT);
        simulator.network.call(ADDRESS, address, request, done);
    }

    /** Returns whether cancellation of the job, or of one of its direct or indirect prerequisites, was requested. */
    boolean mayBeCancelled(Job job) {
        return cancelRequested.contains(job.id)
                || job.prerequisites.stream().anyMatch(prerequisite -> mayBeCancelled(jobs.get(prerequisite)));
    }

    /** Queries an accepted job once, at a random controller. */
    void query(String id) {
        query(id, randomAddress());
    }

    private void query(String id, String address) {
        Job job = jobs.get(id);
        if (job == null || !job.accepted) {
            return;
        }
        JobAnswerChecker.Query query = answerChecker.newQuery(job);
        get(address, job, reply -> answerChecker.check(query, reply));
    }

    /**
     * Submits a job again at a random controller, whatever its state. A job that has been accepted must be recognized from
     * then on, also after its end.
     */
    void resubmit(String id) {
        resubmit(id, randomAddress());
    }

    private void resubmit(String id, String address) {
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        boolean wasAccepted = job.accepted;
        JobAnswerChecker.Query query = answerChecker.newQuery(job);
        post(address, SUBMISSIONS_PATH, submissionJson(job).toString(), reply -> {
            int status = reply.status();
            if (wasAccepted && status >= 201 && status < 500 && status != 429) {
                simulator.invariants.recordViolation(
                        "forgotten", id + " was resubmitted and answered with status " + status);
            } else if (wasAccepted && status == 200) {
                answerChecker.check(query, reply);
            }
        });
    }

    /**
     * Requests the cancellation of a job and retries at random controllers until the request is answered.
     *
     * @param node the controller of the first request; null for a random one
     */
    void cancel(String id, String node) {
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        cancelRequested.add(id);
        String address = node == null
                ? randomAddress()
                : simulator.controllers.get(node).settings.bind();
        post(address, SUBMISSIONS_PATH + "/" + id + "/abort", null, reply -> {
            if (reply.status() == 200) {
                onCancelAnswered(job, JobAnswerChecker.statusOf(reply));
            } else {
                simulator.after(RETRY_DELAY, () -> cancel(id, null));
            }
        });
    }

    private void onCancelAnswered(Job job, String status) {
        simulator.logLine(job.id + " cancel answered " + status);
        if (status.equals(JobAnswerChecker.CANCELLED)) {
            job.cancelConfirmedAt = simulator.now;
            simulator.invariants.machineChanged();
            job.lastStatus = JobAnswerChecker.CANCELLED;
            queryAllControllers(job);
        }
    }
}
