package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import org.havenford.coordination.placement.ImagePullTime;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;

/**
 * Decides which jobs are paced, and how many of their tasks run side by side. A job with a deadline whose image takes long to
 * pull against a run is cheaper on few machines that have it: it gets no more than it needs to be in time.
 */
final class JobPacing {
    /**
     * How long a job with time to spare leaves idle machines alone: large ones that others need, and those that would have
     * to pull its image first.
     */
    private static final Duration IDLE_MACHINE_PATIENCE = Duration.ofSeconds(60);
    /** Part of a run from which on a pull counts as long. */
    private static final double LONG_PULL_OF_RUN = 0.3;
    /** Runs may take longer than the median by this factor. */
    private static final double RUN_MARGIN = 1.15;
    /** Runs one after the other on each machine for a job that can't be in time any more. */
    private static final double RUNS_IF_LATE = 3;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final ClusterState clusterState;
    private final JobOrder jobOrder;

    JobPacing(ClusterState clusterState, JobOrder jobOrder) {
        this.clusterState = clusterState;
        this.jobOrder = jobOrder;
    }

    /** Whether a job has waited so long since its release that it may take any idle machine. */
    static boolean hasWaitedLong(Job job, Instant now) {
        return !now.isBefore(job.releasedAt().plus(IDLE_MACHINE_PATIENCE));
    }

    /** Whether a job gets no more machines than it needs for its deadline. */
    boolean isPaced(Job job) {
        return jobOrder.deadline(job) != null
                && jobOrder.priority(job).compareTo(JobSpec.Priority.NORMAL) >= 0
                && pullSeconds(job.spec()) >= LONG_PULL_OF_RUN * JobOrder.runSeconds(job);
    }

    /** Tasks of a paced job that must run side by side for it to be in time; of one that can't be, a third. */
    int tasksNeeded(Job job, Instant now) {
        double runSeconds = JobOrder.runSeconds(job) * RUN_MARGIN;
        double secondsLeft = Duration.between(now, jobOrder.deadline(job)).toMillis() / MILLIS_PER_SECOND
                - pullSeconds(job.spec()) * (job.claimCount() == 0 ? 1 : 0);
        double runsPerMachine = secondsLeft < runSeconds ? RUNS_IF_LATE : Math.floor(secondsLeft / runSeconds);
        return (int) Math.ceil((job.spec().taskCount() - job.doneCount()) / runsPerMachine);
    }

    private double pullSeconds(JobSpec spec) {
        return ImagePullTime.fastestSeconds(spec, clusterState.types().values());
    }
}
