package org.havenford.coordination.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes a member out of the view before its lease has ended. The state service is the witness: the member is asked through
 * a key whether it is alive, and removes the key if it is; the eviction is guarded by the key's stamp, so it can't be
 * committed once the member has answered.
 */
public final class MemberEvictions {
    private static final Logger LOG = LoggerFactory.getLogger(MemberEvictions.class);
    /** Time until the same node may be evicted again; twice as long after each eviction that comes soon after. */
    private static final Duration FIRST_INTERVAL = Duration.ofSeconds(30);

    private static final Duration LONGEST_INTERVAL = Duration.ofMinutes(10);

    /** A question older than this was left by a member that has ended, and may be asked anew by another. */
    private static final Duration QUESTION_STANDS = Duration.ofSeconds(2);

    /** When a node was last evicted, and how long it is spared. */
    private record Latest(Instant at, Duration interval) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final StoreReplica replica;
    private final Membership membership;
    private final String node;
    private final Map<String, Latest> records = new HashMap<>();
    /** Evictions that were counted, so that a view that repeats one does not count it twice. */
    private final Map<String, Long> counted = new HashMap<>();
    /** Questions that stand, by the node that is asked, and when they were first seen here. */
    private final Map<String, Instant> unansweredProbes = new HashMap<>();

    /** Evictions carried out by the given node. */
    public MemberEvictions(
            EventLoop loop, StoreClient store, StoreReplica replica, Membership membership, String node) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.membership = membership;
        this.node = node;
    }

    /** The view has changed: every member counts the evictions that it names. */
    public void viewChanged() {
        membership.view().evicted().forEach((name, incarnation) -> {
            if (!incarnation.equals(counted.put(name, incarnation))) {
                count(name);
            }
        });
    }

    private void count(String name) {
        Instant now = loop.now();
        Latest before = records.get(name);
        boolean soon = before != null && now.isBefore(before.at().plus(LONGEST_INTERVAL));
        Duration doubled = soon ? before.interval().multipliedBy(2) : FIRST_INTERVAL;
        records.put(name, new Latest(now, doubled.compareTo(LONGEST_INTERVAL) > 0 ? LONGEST_INTERVAL : doubled));
    }

    /** Whether a member may be evicted now: it was not lately, and every member reads the mark of an eviction. */
    public boolean mayEvict(String name) {
        Latest record = records.get(name);
        boolean spared = record != null && loop.now().isBefore(record.at().plus(record.interval()));
        return !spared && membership.mayAnswerAgents() && membership.allSupportEvictions();
    }

    /** Asks a member through the state service whether it is alive; tells the stamp of the question, 0 if it failed. */
    public void probe(String name, long incarnation, LongConsumer asked) {
        Instant since = unansweredProbes.get(name);
        if (since != null && loop.now().isBefore(since.plus(QUESTION_STANDS))) {
            // Another member's question would be replaced, and its eviction would fail: two would only hinder each
            // other.
            // standby-two-conductors.trace
            asked.accept(0);
            return;
        }
        String key = Keys.livenessProbe(name);
        Transaction transaction = new Transaction()
                .requireRevision(Keys.VIEW, membership.viewRevision())
                .requireRevision(key, replica.modRevision(key))
                .put(key, new LivenessProbe(node, incarnation).toJson());
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
            asked.accept(result.ok() ? result.revision() : 0);
        });
    }

    /** Takes a question back. */
    public void withdrawProbe(String name, long stamp) {
        remove(Keys.livenessProbe(name), stamp);
    }

    /** Evicts a member that did not answer the question with this stamp; tells whether the view without it was committed. */
    public void evict(String name, long incarnation, long challengeStamp, Consumer<Boolean> done) {
        membership.evict(name, incarnation, challengeStamp, committed -> {
            if (committed) {
                // A late copy of its registration then finds no lease to attach to.
                store.endLease(incarnation, result -> {});
            }
            done.accept(committed);
        });
    }

    /** A question was asked: if it is for this node, removing it is the answer, also for a former life of the node. */
    public void livenessProbeChanged(String name, LivenessProbe probe, long stamp) {
        if (probe == null) {
            unansweredProbes.remove(name);
        } else {
            unansweredProbes.put(name, loop.now());
        }
        if (probe != null && name.equals(node)) {
            if (probe.readError() != null) {
                LOG.warn("the question to {} can't be read: {}", name, probe.readError());
            }
            String by = probe.requester() == null ? "?" : probe.requester();
            LOG.info("{} suspects this node: it answers that it is alive", by);
            remove(Keys.livenessProbe(name), stamp);
        }
    }

    private void remove(String key, long stamp) {
        Transaction transaction = new Transaction().requireRevision(key, stamp).delete(key);
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
        });
    }
}
