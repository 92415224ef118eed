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

/**
 * Outcomes of ended attempts whose claims are still in the store, grouped by the task range that holds the claim. They are
 * keyed by claim rather than by task, so that an outcome is never applied to a later attempt of the same task.
 */
public final class AttemptOutcomes {
    /** Outcomes that are to be written to one task range. */
    public static final class TaskRangeOutcomes {
        private final String key;
        private final Job job;
        private final Map<Claim, AttemptOutcome> outcomes = new LinkedHashMap<>();
        /** When batching started; null until the task range is first considered for writing while it is not locked. */
        private Instant batchingSince;

        /** When the task range was last considered for writing; null if an outcome was added since. */
        private Instant lastCheckedAt;

        private TaskRangeOutcomes(String key, Job job) {
            this.key = key;
            this.job = job;
        }

        /** Returns the key of the stored task range. */
        public String key() {
            return key;
        }

        /** Returns the job as of the first outcome. Only its specification, which never changes, is up to date. */
        public Job job() {
            return job;
        }

        /** Returns the outcomes by claim, in the order in which they were recorded. */
        public Map<Claim, AttemptOutcome> outcomes() {
            return outcomes;
        }

        /**
         * Returns when batching started, and starts it at {@code now} on the first call. If it started with the outcome
         * itself, outcomes recorded while a claim locks the task range would be due as soon as the lock is released, and
         * writing them would delay the next claim.
         */
        public Instant batchingSince(Instant now) {
            batchingSince = batchingSince == null ? now : batchingSince;
            return batchingSince;
        }

        /** Returns when the task range was last considered for writing, or null if an outcome was added since. */
        public Instant lastCheckedAt() {
            return lastCheckedAt;
        }

        /** Records that the task range was considered for writing. */
        public void markChecked(Instant now) {
            lastCheckedAt = now;
        }
    }

    private final ClusterState clusterState;
    private final AgentListener listener;
    private final DecisionLog decisionLog;
    private final Map<Claim, TaskRangeOutcomes> rangesByClaim = new HashMap<>();
    private final Map<String, TaskRangeOutcomes> rangesByKey = new LinkedHashMap<>();

    /** Creates an empty collection; {@code listener} is notified of each machine on which an attempt has ended. */
    AttemptOutcomes(ClusterState clusterState, AgentListener listener, DecisionLog decisionLog) {
        this.clusterState = clusterState;
        this.listener = listener;
        this.decisionLog = decisionLog;
    }

    /** Records the outcome of an attempt. Later outcomes for the same claim are ignored. */
    void recordOutcome(Claim claim, AttemptOutcome outcome, EndProof proof) {
        Job job = clusterState.job(claim.task().job());
        if (job == null || rangesByClaim.containsKey(claim)) {
            return;
        }
        String key = Keys.tasks(job.id(), job.taskRangeIndex(claim.task().index()));
        TaskRangeOutcomes range = rangesByKey.computeIfAbsent(key, k -> new TaskRangeOutcomes(k, job));
        range.outcomes.put(claim, outcome);
        range.lastCheckedAt = null;
        rangesByClaim.put(claim, range);
        listener.capacityChanged(claim.machine());
        decisionLog.attemptEnded(claim, outcome, proof);
    }

    /** Returns whether the outcome of a claim is known but not stored yet. */
    public boolean contains(Claim claim) {
        return rangesByClaim.containsKey(claim);
    }

    /** Returns the outcome recorded for a claim, or null. */
    public AttemptOutcome outcomeOf(Claim claim) {
        TaskRangeOutcomes range = rangesByClaim.get(claim);
        return range == null ? null : range.outcomes.get(claim);
    }

    /** Removes the outcomes of claims that are stored by now, or whose claims are no longer held. */
    public void remove(Collection<Claim> claims) {
        for (Claim claim : List.copyOf(claims)) {
            TaskRangeOutcomes range = rangesByClaim.remove(claim);
            if (range != null) {
                range.outcomes.remove(claim);
                if (range.outcomes.isEmpty()) {
                    rangesByKey.remove(range.key);
                }
            }
        }
    }

    /** Removes the outcomes of all claims that do not satisfy the condition. */
    void retainIf(Predicate<Claim> condition) {
        remove(rangesByClaim.keySet().stream().filter(condition.negate()).toList());
    }

    /** Returns the task ranges with outcomes to write, ordered by the time of their first outcome. */
    public List<TaskRangeOutcomes> pendingTaskRanges() {
        return List.copyOf(rangesByKey.values());
    }
}
