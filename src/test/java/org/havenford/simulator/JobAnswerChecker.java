package org.havenford.simulator;

import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import org.havenford.transport.HttpCalls.Reply;

/** Checks what users are told about their jobs against what they were told before and what the machines have done. */
final class JobAnswerChecker {
    /** The status of a cancelled job, as the protocol has it. */
    static final String CANCELLED = "withdrawn";

    private static final String DONE = "done";

    /** What a user knew when asking: an answer may be overtaken on its way, but not be older than that. */
    record Query(SimulatedUsers.Job job, String knownStatus, Instant askedAt) {}

    private final ClusterSimulator simulator;
    private final SimulatedUsers users;

    JobAnswerChecker(ClusterSimulator simulator, SimulatedUsers users) {
        this.simulator = simulator;
        this.users = users;
    }

    /** A question that is asked now. */
    Query newQuery(SimulatedUsers.Job job) {
        return new Query(job, job.lastStatus, simulator.now);
    }

    /** The status in an answer that describes a job. */
    static String statusOf(Reply reply) {
        return JsonParser.parseString(reply.body())
                .getAsJsonObject()
                .get("status")
                .getAsString();
    }

    /** Checks the answer to a query, and keeps what the user knows now. */
    void check(Query query, Reply reply) {
        SimulatedUsers.Job job = query.job;
        if (reply.status() == 404) {
            simulator.rules.broken("forgotten", job.id + " is answered 404");
        }
        if (reply.status() != 200) {
            simulator.rules.checkUnanswered(job);
            return;
        }
        job.lastAnsweredAt = simulator.now;
        String status = statusOf(reply);
        checkFinality(query, status);
        if (status.equals(CANCELLED)) {
            checkCancellation(job);
        } else {
            checkPrerequisites(query, status);
        }
        if (status.equals(DONE) && job.doneTold == null) {
            recordDone(job);
        }
        if (!isFinal(job.lastStatus)) {
            job.lastStatus = status;
        }
    }

    private static boolean isFinal(String status) {
        return status.equals(DONE) || status.equals(CANCELLED);
    }

    private void checkFinality(Query query, String status) {
        if (isFinal(query.knownStatus) && !status.equals(query.knownStatus)) {
            simulator.rules.broken("went_back", query.job.id + " was " + query.knownStatus + " and is " + status);
        }
    }

    private void checkCancellation(SimulatedUsers.Job job) {
        if (job.cancelTold == null && !users.mayBeCancelled(job)) {
            simulator.rules.broken("went_back", job.id + " is cancelled by nobody");
        } else if (job.takenAlong == null) {
            job.takenAlong = simulator.now;
        }
    }

    /** A job that needs a cancelled one must be cancelled as well within the time allowed. */
    private void checkPrerequisites(Query query, String status) {
        Instant cancelled = prerequisiteCancelledAt(query.job);
        if (cancelled != null
                && Duration.between(cancelled, query.askedAt).compareTo(simulator.template.cancellationLimit()) > 0) {
            simulator.rules.broken(
                    "orphaned",
                    query.job.id + " is " + status + ", though a job before it was cancelled at "
                            + Duration.between(Instant.EPOCH, cancelled).toMillis() / 1e3);
        }
    }

    /** When a user was first told that a job which this one needs is cancelled, or null. */
    private Instant prerequisiteCancelledAt(SimulatedUsers.Job job) {
        Instant first = null;
        for (String id : job.prerequisites) {
            SimulatedUsers.Job prerequisite = users.jobs.get(id);
            Instant at =
                    prerequisite.cancelTold != null ? prerequisite.cancelTold : prerequisiteCancelledAt(prerequisite);
            first = first == null || (at != null && at.isBefore(first)) ? at : first;
        }
        return first == null || job.submitted.isBefore(first) ? first : job.submitted;
    }

    private void recordDone(SimulatedUsers.Job job) {
        job.doneTold = simulator.now;
        for (int task = 0; task < job.tasks; task++) {
            if (!users.finished.contains(job.id + "/" + task)) {
                simulator.rules.broken("not_done", job.id + "/" + task + " is not done");
            }
        }
        simulator.note(job.id + " done");
        users.queryAllControllers(job);
    }
}
