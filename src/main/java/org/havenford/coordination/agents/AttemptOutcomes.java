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
 * Attempts that ended and whose claims are still in the store, gathered by the record that holds the claim. By claim, not by
 * task: an end must never be taken for that of a later attempt.
 */
public final class AttemptOutcomes {
    private static final Logger LOG = LoggerFactory.getLogger(AttemptOutcomes.class);

    /** Ends that are to be written into one record of tasks. */
    public static final class TaskRangeOutcomes {
        private final String key;
        private final Job job;
        private final Map<Claim, AttemptOutcome> ended = new LinkedHashMap<>();
        /** Since when ends are gathered; null before the first look at a record that nothing else is written into. */
        private Instant gatheredSince;

        /** When it was last looked at whether the ends should be written; null after a change. */
        private Instant lookedAt;

        private TaskRangeOutcomes(String key, Job job) {
            this.key = key;
            this.job = job;
        }

        /** Key of the stored record of tasks. */
        public String key() {
            return key;
        }

        /** The job as it was when the first end was seen: its description does not change. */
        public Job job() {
            return job;
        }

        /** The job of the tasks. */
        public Map<Claim, AttemptOutcome> ended() {
            return ended;
        }

        /**
         * Since when ends are gathered: from now on if this is the first look. Counted from the end itself, what ends while a
         * claim of the record is written would at once be written after it, in the way of the next claim.
         */
        public Instant gatheredSince(Instant now) {
            gatheredSince = gatheredSince == null ? now : gatheredSince;
            return gatheredSince;
        }

        /** When the record was last considered for writing. */
        public Instant lookedAt() {
            return lookedAt;
        }

        /** Notes that the record was considered for writing. */
        public void lookedAt(Instant now) {
            lookedAt = now;
        }
    }

    private final ClusterState clusterState;
    private final AgentListener listener;
    private final Map<Claim, TaskRangeOutcomes> recordOf = new HashMap<>();
    private final Map<String, TaskRangeOutcomes> records = new LinkedHashMap<>();

    /** {@code listener} is told of machines on which an attempt has ended. */
    AttemptOutcomes(ClusterState clusterState, AgentListener listener) {
        this.clusterState = clusterState;
        this.listener = listener;
    }

    /** Notes the end of an attempt; the first end counts. */
    void end(Claim claim, AttemptOutcome outcome) {
        Job job = clusterState.job(claim.task().job());
        if (job == null || recordOf.containsKey(claim)) {
            return;
        }
        String key = Keys.tasks(job.id(), job.taskRangeIndex(claim.task().index()));
        TaskRangeOutcomes ended = records.computeIfAbsent(key, k -> new TaskRangeOutcomes(k, job));
        ended.ended.put(claim, outcome);
        ended.lookedAt = null;
        recordOf.put(claim, ended);
        listener.capacityChanged(claim.machine());
        LOG.debug("{} attempt {} on {} ended: {}", claim.task(), claim.attempt(), claim.machine(), outcome);
    }

    /** Whether the outcome of a claim is known but not yet stored. */
    public boolean contains(Claim claim) {
        return recordOf.containsKey(claim);
    }

    /** How an attempt ended, or null. */
    public AttemptOutcome of(Claim claim) {
        TaskRangeOutcomes ended = recordOf.get(claim);
        return ended == null ? null : ended.ended.get(claim);
    }

    /** The ends of some claims are in the store, or the claims are no longer held. */
    public void remove(Collection<Claim> claims) {
        for (Claim claim : List.copyOf(claims)) {
            TaskRangeOutcomes ended = recordOf.remove(claim);
            if (ended != null) {
                ended.ended.remove(claim);
                if (ended.ended.isEmpty()) {
                    records.remove(ended.key);
                }
            }
        }
    }

    /** Forgets the ends of claims that are no longer held. */
    void keepOnly(Predicate<Claim> held) {
        remove(recordOf.keySet().stream().filter(held.negate()).toList());
    }

    /** Records with ends to be written, in the order in which the first end of each was seen. */
    public List<TaskRangeOutcomes> records() {
        return List.copyOf(records.values());
    }
}
