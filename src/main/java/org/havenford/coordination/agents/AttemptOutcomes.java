package org.havenford.coordination.agents;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Outcomes of attempts that ended and whose claims are still in the store, gathered by the task range that holds the claim.
 * By claim, not by task: an outcome must never be taken for that of a later attempt.
 */
public final class AttemptOutcomes {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptOutcomes.class);

    /** Outcomes that are to be written into one task range. */
    public static final class TaskRangeOutcomes {
        private final String key;
        private final Job job;
        private final Map<Claim, AttemptOutcome> ended = new LinkedHashMap<>();
        /** Since when outcomes are gathered; null before the task range was first considered while not locked. */
        private Instant gatheredSince;

        /** When the task range was last considered for writing; null after a change. */
        private Instant lookedAt;

        private TaskRangeOutcomes(String key, Job job) {
            this.key = key;
            this.job = job;
        }

        /** Key of the stored task range. */
        public String key() {
            return key;
        }

        /** The job as it was when the first outcome was seen: its specification does not change. */
        public Job job() {
            return job;
        }

        /** The outcomes by claim, in the order in which they were seen. */
        public Map<Claim, AttemptOutcome> ended() {
            return ended;
        }

        /**
         * Since when outcomes are gathered: from now on if this is the first look. Counted from the outcome itself, what ends
         * while a claim of the task range is written would at once be written after it, in the way of the next claim.
         */
        public Instant gatheredSince(Instant now) {
            gatheredSince = gatheredSince == null ? now : gatheredSince;
            return gatheredSince;
        }

        /** When the task range was last considered for writing; null if not since the last change. */
        public Instant lookedAt() {
            return lookedAt;
        }

        /** Notes that the task range was considered for writing. */
        public void lookedAt(Instant now) {
            lookedAt = now;
        }
    }

    private final ClusterState clusterState;
    private final AgentListener listener;
    private final Map<Claim, TaskRangeOutcomes> rangeOf = new HashMap<>();
    private final Map<String, TaskRangeOutcomes> ranges = new LinkedHashMap<>();

    /** {@code listener} is told of machines on which an attempt has ended. */
    AttemptOutcomes(ClusterState clusterState, AgentListener listener) {
        this.clusterState = clusterState;
        this.listener = listener;
    }

    /** Notes the outcome of an attempt; the first outcome counts. */
    void end(Claim claim, AttemptOutcome outcome) {
        Job job = clusterState.job(claim.task().job());
        if (job == null || rangeOf.containsKey(claim)) {
            return;
        }
        String key = Keys.tasks(job.id(), job.taskRangeIndex(claim.task().index()));
        TaskRangeOutcomes range = ranges.computeIfAbsent(key, k -> new TaskRangeOutcomes(k, job));
        range.ended.put(claim, outcome);
        range.lookedAt = null;
        rangeOf.put(claim, range);
        listener.capacityChanged(claim.machine());
        LOG.debug(
                "attempt ended: task={} attempt={} machine={} outcome={}",
                claim.task(),
                claim.attempt(),
                claim.machine(),
                outcome);
    }

    /** Whether the outcome of a claim is known but not yet stored. */
    public boolean contains(Claim claim) {
        return rangeOf.containsKey(claim);
    }

    /** How an attempt ended, or null. */
    public AttemptOutcome of(Claim claim) {
        TaskRangeOutcomes range = rangeOf.get(claim);
        return range == null ? null : range.ended.get(claim);
    }

    /** The outcomes of some claims are in the store, or the claims are no longer held. */
    public void remove(Collection<Claim> claims) {
        for (Claim claim : List.copyOf(claims)) {
            TaskRangeOutcomes range = rangeOf.remove(claim);
            if (range != null) {
                range.ended.remove(claim);
                if (range.ended.isEmpty()) {
                    ranges.remove(range.key);
                }
            }
        }
    }

    /** Forgets the outcomes of claims that are no longer held. */
    void keepOnly(Predicate<Claim> held) {
        remove(rangeOf.keySet().stream().filter(held.negate()).toList());
    }

    /** Task ranges with outcomes to be written, in the order in which the first outcome of each was seen. */
    public List<TaskRangeOutcomes> records() {
        return List.copyOf(ranges.values());
    }
}
