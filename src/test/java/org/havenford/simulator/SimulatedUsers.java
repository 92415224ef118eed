package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.havenford.transport.HttpCalls.Reply;

/** Users behind a load balancer that tries the nodes at random. */
final class SimulatedUsers {
    static final class Job {
        String id;
        String team;
        double cpus;
        int tasks;
        double runS;
        String image;
        boolean spot;
        boolean apart;
        boolean together;
        /** The only allowed types of machines; empty for any. */
        Set<String> types = Set.of();

        double imageGb = 1;
        String zone;
        String urgency = "normal";
        double due;
        /** Submitted with a mistake: each of its tasks fails on every machine. */
        boolean broken;

        boolean accepted;
        Instant cancelTold;
        String lineup = "class";
        Instant submitted;
        Instant begun;
        /** When a question about the job was answered last. */
        Instant answered = Instant.EPOCH;

        String last = "";
        Instant doneTold;
        /** Told to be withdrawn with a job that it needs, without having been asked for. */
        Instant takenAlong;

        final List<String> awaits = new ArrayList<>();

        Duration run(SplittableRandom random) {
            return Duration.ofMillis((long) (runS * 1000 * (0.8 + 0.4 * random.nextDouble())));
        }
    }

    private final ClusterSimulator world;
    /** Jobs that were asked to be cancelled, whatever the answer. */
    final Set<String> cancelAsked = new HashSet<>();

    final Map<String, Job> jobs = new LinkedHashMap<>();
    /** Tasks whose result is kept. */
    final Set<String> finished = new HashSet<>();

    /** How many times as often as usual users ask about their jobs. */
    int pollsAsOften = 1;

    /** Whether users ask and repeat at all controllers within milliseconds of an acceptance, an end or a cancellation. */
    boolean closeLooks;

    SimulatedUsers(ClusterSimulator world) {
        this.world = world;
    }

    private void look(Job job) {
        if (!closeLooks) {
            return;
        }
        for (ClusterSimulator.Node node : world.nodes.values()) {
            for (int millis : new int[] {0, 3, 12, 40}) {
                world.after(Duration.ofMillis(millis), () -> {
                    ask(job.id, node.settings.bind());
                    repeat(job.id, node.settings.bind());
                });
            }
        }
    }

    Job submit(String id, String team, int tasks, double cpus, double runS, List<String> options) {
        Job job = new Job();
        job.id = id;
        job.team = team;
        job.tasks = tasks;
        job.cpus = cpus;
        job.runS = runS;
        job.image = "img-" + (Integer.parseInt(id.substring(2)) % 3);
        job.spot = true;
        for (String o : options) {
            job.broken |= o.equals("broken");
            job.apart |= o.equals("apart");
            job.together |= o.equals("together");
            job.spot &= !o.equals("ordinary");
            job.lineup = o.startsWith("class=") ? o.substring(6) : job.lineup;
            job.zone = o.startsWith("zone=") ? o.substring(5) : job.zone;
            job.types = o.startsWith("types=") ? Set.of(o.substring(6).split(",")) : job.types;
            job.imageGb = o.startsWith("image-gb=") ? Double.parseDouble(o.substring(9)) : job.imageGb;
            job.urgency = o.equals("urgent") || o.equals("low") ? o : job.urgency;
            if (o.startsWith("awaits=")) {
                job.awaits.addAll(List.of(o.substring(7).split(",")));
            }
            job.due = o.startsWith("due=") ? Double.parseDouble(o.substring(4)) : job.due;
        }
        job.submitted = world.now;
        jobs.put(id, job);
        send(job);
        return job;
    }

    static JsonObject body(Job job) {
        JsonObject json = new JsonObject();
        json.addProperty("nameId", job.id);
        json.addProperty("lineup", job.lineup);
        json.addProperty("crew", job.team);
        json.addProperty("shape", "batch");
        json.addProperty("urgency", job.urgency);
        if (job.due > 0) {
            json.addProperty("airtimeS", job.due);
        }
        json.addProperty("shots", job.tasks);
        json.addProperty("vcpus", job.cpus);
        json.addProperty("cards", 0.0);
        json.addProperty("memGb", 1.0);
        json.addProperty("reel", job.image);
        json.addProperty("imageGb", job.imageGb);
        json.addProperty("together", job.together);
        json.addProperty("apart", job.apart);
        json.addProperty("borrowed", job.spot);
        if (job.zone != null) {
            json.addProperty("hall", job.zone);
        }
        if (!job.types.isEmpty()) {
            JsonArray rigs = new JsonArray();
            job.types.stream().sorted().forEach(rigs::add);
            json.add("rigs", rigs);
        }
        json.addProperty("guessS", job.runS);
        json.addProperty("keyframeS", 0.0);
        json.addProperty("flushS", 0.0);
        if (!job.awaits.isEmpty()) {
            JsonArray a = new JsonArray();
            job.awaits.forEach(a::add);
            json.add("awaits", a);
        }
        return json;
    }

    private String someNode() {
        List<ClusterSimulator.Node> all = List.copyOf(world.nodes.values());
        return all.get(world.random.nextInt(all.size())).settings.bind();
    }

    private void send(Job job) {
        boolean known = job.awaits.stream().allMatch(a -> jobs.get(a).accepted);
        world.call("users", someNode(), "POST", "/submissions", body(job).toString(), Duration.ofSeconds(5), r -> {
            if (r.status() == 201 || r.status() == 200) {
                if (!job.accepted) {
                    world.note(job.id + " accepted");
                }
                boolean first = !job.accepted;
                job.accepted = true;
                job.answered = world.now;
                poll(job);
                if (first) {
                    look(job);
                }
            } else if (r.status() == 422 && !known) {
                world.after(Duration.ofSeconds(1), () -> send(job));
            } else if (r.status() == 400 || r.status() == 422) {
                world.rules.broken("forgotten", job.id + " refused with " + r.status());
            } else {
                world.after(Duration.ofSeconds(1), () -> send(job));
            }
        });
    }

    private void poll(Job job) {
        int often = Math.max(1, pollsAsOften);
        world.after(Duration.ofMillis((4000 + world.random.nextInt(2000)) / often), () -> {
            String knew = job.last;
            Instant asked = world.now;
            world.call("users", someNode(), "GET", "/submissions/" + job.id, null, Duration.ofSeconds(2), r -> {
                told(job, knew, asked, r);
                if ((job.doneTold == null && job.cancelTold == null && job.takenAlong == null)
                        || world.random.nextInt(3) > 0) {
                    poll(job);
                }
            });
        });
    }

    /** Whether the job, or one that it needs, was asked to be cancelled. */
    boolean mayBeWithdrawn(Job job) {
        return cancelAsked.contains(job.id) || job.awaits.stream().anyMatch(a -> mayBeWithdrawn(jobs.get(a)));
    }

    /** When a user was first told that a job which this one needs is cancelled. */
    private Instant cancelledBefore(Job job) {
        Instant first = null;
        for (String a : job.awaits) {
            Job b = jobs.get(a);
            Instant at = b.cancelTold != null ? b.cancelTold : cancelledBefore(b);
            first = first == null || (at != null && at.isBefore(first)) ? at : first;
        }
        return first == null || job.submitted.isBefore(first) ? first : job.submitted;
    }

    /** {@code knew} is what the user had been told when asking: an answer may be overtaken on its way, but not be older. */
    private void told(Job job, String knew, Instant asked, Reply r) {
        if (r.status() == 404) {
            world.rules.broken("forgotten", job.id + " is answered 404");
        }
        if (r.status() != 200) {
            world.rules.unanswered(job);
            return;
        }
        job.answered = world.now;
        String status =
                JsonParser.parseString(r.body()).getAsJsonObject().get("status").getAsString();
        boolean was = knew.equals("done") || knew.equals("withdrawn");
        if (was && !status.equals(knew)) {
            world.rules.broken("went_back", job.id + " was " + knew + " and is " + status);
        }
        if (status.equals("withdrawn") && job.cancelTold == null && !mayBeWithdrawn(job)) {
            world.rules.broken("went_back", job.id + " is cancelled by nobody");
        } else if (status.equals("withdrawn") && job.takenAlong == null) {
            job.takenAlong = world.now;
        }
        Instant before = cancelledBefore(job);
        if (before != null
                && !status.equals("withdrawn")
                && Duration.between(before, asked).compareTo(world.template.cancellationLimit()) > 0) {
            world.rules.broken(
                    "orphaned",
                    job.id + " is " + status + ", though a job before it was cancelled at "
                            + Duration.between(Instant.EPOCH, before).toMillis() / 1e3);
        }
        if (status.equals("done") && job.doneTold == null) {
            job.doneTold = world.now;
            for (int i = 0; i < job.tasks; i++) {
                if (!finished.contains(job.id + "/" + i)) {
                    world.rules.broken("not_done", job.id + "/" + i + " is not done");
                }
            }
            world.note(job.id + " done");
            look(job);
        }
        if (!job.last.equals("withdrawn") && !job.last.equals("done")) {
            job.last = status;
        }
    }

    /** A single question. */
    void ask(String id) {
        ask(id, someNode());
    }

    private void ask(String id, String at) {
        Job job = jobs.get(id);
        if (job == null || !job.accepted) {
            return;
        }
        String knew = job.last;
        Instant asked = world.now;
        world.call(
                "users", at, "GET", "/submissions/" + id, null, Duration.ofSeconds(2), r -> told(job, knew, asked, r));
    }

    /** The submission once more, whatever has become of the job: an accepted one is known for good. */
    void repeat(String id) {
        repeat(id, someNode());
    }

    private void repeat(String id, String at) {
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        String knew = job.last;
        boolean was = job.accepted;
        Instant asked = world.now;
        world.call("users", at, "POST", "/submissions", body(job).toString(), Duration.ofSeconds(5), r -> {
            if (was && r.status() >= 201 && r.status() < 500 && r.status() != 429) {
                world.rules.broken("forgotten", id + " sent again is answered " + r.status());
            } else if (was && r.status() == 200) {
                told(job, knew, asked, r);
            }
        });
    }

    void cancel(String id, String node) {
        Job job = jobs.get(id);
        if (job == null) {
            return;
        }
        cancelAsked.add(id);
        String at = node == null ? someNode() : world.nodes.get(node).settings.bind();
        world.call("users", at, "POST", "/submissions/" + id + "/abort", null, Duration.ofSeconds(5), r -> {
            if (r.status() == 200) {
                String status = JsonParser.parseString(r.body())
                        .getAsJsonObject()
                        .get("status")
                        .getAsString();
                world.note(id + " cancel answered " + status);
                if (status.equals("withdrawn")) {
                    job.cancelTold = world.now;
                    world.rules.touched();
                    job.last = "withdrawn";
                    look(job);
                }
            } else {
                world.after(Duration.ofSeconds(1), () -> cancel(id, null));
            }
        });
    }
}
