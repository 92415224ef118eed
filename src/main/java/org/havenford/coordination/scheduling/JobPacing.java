package org.havenford.coordination.scheduling;

import java.time.Duration;
import java.time.Instant;
import org.havenford.coordination.placement.ImagePullTime;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Job;

/**
 * Decides which jobs are paced, and how many of their tasks run concurrently. A job with a deadline whose image pull
 * takes long compared with a run is cheaper on few machines that have the image, so it gets no more tasks at a time
 * than it needs to meet its deadline.
 */
final class JobPacing {
    /**
     * How long after its release a job with time to spare leaves idle machines to other jobs: large machines that
     * others need, and machines that would have to pull its image first.
     */
    private static final Duration IDLE_MACHINE_DELAY = Duration.ofSeconds(60);
    /** Fraction of a run from which an image pull counts as long. */
    private static final double LONG_PULL_FRACTION = 0.3;
    /** Factor by which runs are assumed to exceed the median, as a safety margin. */
    private static final double RUN_TIME_MARGIN = 1.15;
    /** Number of consecutive runs per slot that is assumed for a job that can't meet its deadline any more. */
    private static final double CONSECUTIVE_RUNS_IF_LATE = 3;

    private static final double MILLIS_PER_SECOND = 1e3;

    private final ClusterState clusterState;
    private final JobOrder jobOrder;

    JobPacing(ClusterState clusterState, JobOrder jobOrder) {
        this.clusterState = clusterState;
        this.jobOrder = jobOrder;
    }

    /** Whether a job has waited so long since its release that it may take any idle machine. */
    static boolean hasWaitedLong(Job job, Instant now) {
        return !now.isBefore(job.releasedAt().plus(IDLE_MACHINE_DELAY));
    }

    /** Whether a job gets no more concurrent tasks than it needs for its deadline. */
    boolean isPaced(Job job) {
        return jobOrder.deadline(job) != null
                && jobOrder.priority(job).compareTo(JobSpec.Priority.NORMAL) >= 0
                && pullSeconds(job.spec()) >= LONG_PULL_FRACTION * JobOrder.runSeconds(job);
    }

    /**
     * Returns how many tasks of a paced job must run concurrently to meet its deadline, or a third of its remaining
     * tasks if it can't be met.
     */
    int tasksNeeded(Job job, Instant now) {
        double runSeconds = JobOrder.runSeconds(job) * RUN_TIME_MARGIN;
        double secondsLeft = Duration.between(now, jobOrder.deadline(job)).toMillis() / MILLIS_PER_SECOND
                - pullSeconds(job.spec()) * (job.claimCount() == 0 ? 1 : 0);
        double runsPerMachine =
                secondsLeft < runSeconds ? CONSECUTIVE_RUNS_IF_LATE : Math.floor(secondsLeft / runSeconds);
        return (int) Math.ceil((job.spec().taskCount() - job.doneCount()) / runsPerMachine);
    }

    private double pullSeconds(JobSpec spec) {
        return ImagePullTime.fastestSeconds(spec, clusterState.types().values());
    }
}
