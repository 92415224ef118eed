package org.havenford.simulator;

import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import org.havenford.transport.HttpCalls.Reply;

/** Checks answers about jobs against earlier answers and against the tasks that the machines have completed. */
final class JobAnswerChecker {
    /** The status of a cancelled job in the protocol. */
    static final String CANCELLED = "withdrawn";

    private static final String DONE = "done";

    /**
     * A query of a job's status, with the status that the user knew when sending it. Answers to concurrent queries may
     * arrive out of order, so an answer is compared with this status and not with the latest one.
     */
    record Query(SimulatedUsers.Job job, String knownStatus, Instant askedAt) {}

    private final ClusterSimulator simulator;
    private final SimulatedUsers users;

    JobAnswerChecker(ClusterSimulator simulator, SimulatedUsers users) {
        this.simulator = simulator;
        this.users = users;
    }

    /** Returns a query of a job that is sent now. */
    Query newQuery(SimulatedUsers.Job job) {
        return new Query(job, job.lastStatus, simulator.now);
    }

    /** Returns the job status in the body of an answer. */
    static String statusOf(Reply reply) {
        return JsonParser.parseString(reply.body())
                .getAsJsonObject()
                .get("status")
                .getAsString();
    }

    /** Checks the answer to a query and updates what the user knows of the job. */
    void check(Query query, Reply reply) {
        SimulatedUsers.Job job = query.job;
        if (reply.status() == 404) {
            simulator.invariants.recordViolation("forgotten", job.id + " was answered with status 404");
        }
        if (reply.status() != 200) {
            simulator.invariants.checkUnanswered(job);
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
        if (status.equals(DONE) && job.reportedDoneAt == null) {
            recordDone(job);
        }
        if (!isFinal(job.lastStatus)) {
            job.lastStatus = status;
        }
    }

    private static boolean isFinal(String status) {
        return status.equals(DONE) || status.equals(CANCELLED);
    }

    /** Checks that a final status never changes. */
    private void checkFinality(Query query, String status) {
        if (isFinal(query.knownStatus) && !status.equals(query.knownStatus)) {
            simulator.invariants.recordViolation(
                    "went_back", query.job.id + " was " + query.knownStatus + " and is " + status);
        }
    }

    /** Checks that a cancelled job, or one of its prerequisites, was requested to be cancelled. */
    private void checkCancellation(SimulatedUsers.Job job) {
        if (job.cancelConfirmedAt == null && !users.mayBeCancelled(job)) {
            simulator.invariants.recordViolation(
                    "went_back",
                    job.id + " is cancelled, but no cancellation of it or of a prerequisite was requested");
        } else if (job.reportedCancelledAt == null) {
            job.reportedCancelledAt = simulator.now;
        }
    }

    /** Checks that a job is cancelled within the cancellation limit after one of its prerequisites was cancelled. */
    private void checkPrerequisites(Query query, String status) {
        Instant cancelled = prerequisiteCancelledAt(query.job);
        if (cancelled != null
                && Duration.between(cancelled, query.askedAt).compareTo(simulator.commonSettings.cancellationLimit())
                        > 0) {
            simulator.invariants.recordViolation(
                    "orphaned",
                    query.job.id + " is " + status + ", though a prerequisite was cancelled at "
                            + Duration.between(Instant.EPOCH, cancelled).toMillis() / 1e3);
        }
    }

    /**
     * Returns when the first requested cancellation of a direct or indirect prerequisite was confirmed, or when the job was
     * submitted if that was later. Returns null if no such cancellation was confirmed.
     */
    private Instant prerequisiteCancelledAt(SimulatedUsers.Job job) {
        Instant first = null;
        for (String id : job.prerequisites) {
            SimulatedUsers.Job prerequisite = users.jobs.get(id);
            Instant at = prerequisite.cancelConfirmedAt != null
                    ? prerequisite.cancelConfirmedAt
                    : prerequisiteCancelledAt(prerequisite);
            first = first == null || (at != null && at.isBefore(first)) ? at : first;
        }
        return first == null || job.submittedAt.isBefore(first) ? first : job.submittedAt;
    }

    /** Records that a job was reported as done, and checks that all its tasks have completed. */
    private void recordDone(SimulatedUsers.Job job) {
        job.reportedDoneAt = simulator.now;
        for (int task = 0; task < job.tasks; task++) {
            if (!users.completedTasks.contains(job.id + "/" + task)) {
                simulator.invariants.recordViolation(
                        "not_done", job.id + "/" + task + " has not completed, though its job was reported as done");
            }
        }
        simulator.logLine(job.id + " done");
        users.queryAllControllers(job);
    }
}
