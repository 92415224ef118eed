package org.havenford.coordination.membership;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;
import org.havenford.protocol.Json;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MemberRegistration;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps this node's lease and its place in the view. The wanted view holds exactly the nodes whose leased key exists;
 * any member whose copy of the store shows a difference proposes it by compare-and-set.
 */
public final class Membership {
    private static final Logger LOG = LoggerFactory.getLogger(Membership.class);
    /** Steady clocks drift apart by 0.05%; twice that, and the time that a tick may be late. */
    private static final double DRIFT = 0.001;

    private static final Duration MARGIN = Duration.ofMillis(150);

    /** Keeps the view's value within 2 KiB. */
    private static final int MAX_MOVES = 40;
    /** A worker that is sent to its owner and comes back within this has not reached it. */
    private static final Duration MISDIRECTED_WITHIN = Duration.ofSeconds(8);
    /** After a change of the view workers need time to find their owners. */
    private static final Duration SETTLING = Duration.ofSeconds(12);
    /** Part of a member's machines that must stray before it is taken to be out of their reach. */
    private static final double OUT_OF_REACH = 0.125;

    private static final int LEAST_MISDIRECTED = 2;
    private static final int MAX_KEPT = 20_000;

    /**
     * Of what this program reads and writes; 1 is what came before pipelines, and says nothing of itself. From 3 on a
     * view may name members that were evicted.
     */
    private static final int FORMAT = 3;

    private static final int FORMAT_OF_PIPELINES = 2;
    private static final int FORMAT_OF_EVICTIONS = 3;
    /** After its first eviction a node joins again this much later; twice as long after each further one. */
    private static final Duration FIRST_REJOIN = Duration.ofSeconds(2);

    private static final Duration LAST_REJOIN = Duration.ofSeconds(32);

    private record Member(long incarnation, long modRevision, long format) {}

    /** The view was found as we hold it, at this edition of the store. */
    private record Comparison(Instant sentAt, long revision) {}

    private final EventLoop loop;
    private final StoreClient store;
    private final String node;
    /** All controllers of the deployment, and those that have been seen to read format 2. */
    private final Set<String> configured;

    private final Set<String> renewed = new HashSet<>();
    private final Duration leaseDuration;
    private final StoreReplica replica;
    private final Runnable changed;
    private final ToIntFunction<String> ownedBy;
    private final TreeMap<String, Member> members = new TreeMap<>();
    private final TreeMap<String, String> requestedReassignments = new TreeMap<>();
    /** Machines that were sent to their owner from here, by owner. */
    private final Map<String, Map<String, Instant>> misdirected = new HashMap<>();

    private final Object2ObjectOpenHashMap<String, String> owners = new Object2ObjectOpenHashMap<>();
    private Instant viewSince = Instant.MIN;
    private boolean uncordonRequested;
    private ClusterView view = ClusterView.empty();
    private long viewRevision;
    private long leaseId;
    private boolean registered;
    private boolean proposing;
    private Instant leaseUntil = Instant.MIN;
    /** Comparisons that found our view, and that our copy has yet to catch up with; the oldest first. */
    private final ArrayDeque<Comparison> comparisons = new ArrayDeque<>();

    private Instant verifiedAt = Instant.MIN;
    /** When this process last went on after it had stood still; no older comparison counts. */
    private Instant lastPauseEnd = Instant.MIN;

    private Instant lastProposal = Instant.MIN;
    private Duration rejoinAfter = FIRST_REJOIN;

    /** {@code ownedBy} tells how many machines a node owns. */
    public Membership(
            EventLoop loop,
            StoreClient store,
            StoreReplica replica,
            String node,
            Set<String> configured,
            Duration life,
            Runnable changed,
            ToIntFunction<String> ownedBy) {
        this.ownedBy = ownedBy;
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.node = node;
        this.configured = configured;
        this.leaseDuration = life;
        this.changed = changed;
    }

    /** Begins to acquire a lease and to register. */
    public void start() {
        acquire();
    }

    /**
     * Whether every controller has been seen with a program that reads what format 2 writes. None goes back to an older
     * one: a process comes back with the version that it had, or a newer one.
     */
    public boolean allReadShortForm() {
        return renewed.containsAll(configured);
    }

    /** The view in force, as our replica shows it. */
    public ClusterView view() {
        return view;
    }

    /** The owner of a machine in the present view; kept, since hashing for every member takes its time. */
    public String owner(String machine) {
        String owner = owners.get(machine);
        if (owner == null && !view.members().isEmpty()) {
            if (owners.size() > MAX_KEPT) {
                owners.clear();
            }
            owner = view.owner(machine);
            owners.put(machine, owner);
        }
        return owner;
    }

    /** Whether the copy of the store holds all that was written before the present view. */
    public boolean replicaCoversView() {
        return replica.revision() >= viewRevision;
    }

    /** Stamp of the view in force. */
    public long viewRevision() {
        return viewRevision;
    }

    /** Duration of the membership lease. */
    public Duration leaseDuration() {
        return leaseDuration;
    }

    /**
     * Whether this node may answer workers. Counted from the sending of the last good renewal, and from the sending of
     * the last comparison that found the view as we hold it and whose edition our copy has reached: a node whose watch is
     * stuck must not go on under a view that others have replaced, nor keep workers at tasks that others have cancelled.
     */
    public boolean mayAnswerAgents() {
        Instant now = loop.now();
        return now.isBefore(leaseUntil) && now.isBefore(until(verifiedAt(), leaseDuration)) && isMember();
    }

    /**
     * Whether this node may start tasks as well: its copy was compared so lately that what others have cancelled for
     * longer than a moment is known here. In its blind seconds, and in the first ones afterwards, a node starts nothing.
     */
    public boolean mayStartTasks() {
        return mayAnswerAgents() && loop.now().isBefore(until(verifiedAt(), leaseDuration.dividedBy(2)));
    }

    /** Whether the replica of the store holds all that was committed until so long ago. */
    public boolean replicaIsFresherThan(Duration age) {
        return loop.now().isBefore(until(verifiedAt(), age));
    }

    /** When the latest comparison was sent that our copy has caught up with. */
    private Instant verifiedAt() {
        while (!comparisons.isEmpty() && comparisons.peek().revision() <= replica.revision()) {
            verifiedAt = comparisons.poll().sentAt();
        }
        return verifiedAt;
    }

    /**
     * This process has stood still: it acts on nothing that it held before. It is entitled again once a comparison that was
     * sent from now on agrees, and judges its peers once workers have had time to find their owners again.
     */
    public void processPaused() {
        comparisons.clear();
        verifiedAt = Instant.MIN;
        lastPauseEnd = loop.now();
        viewSince = lastPauseEnd;
        misdirected.clear();
        requestedReassignments.clear();
        uncordonRequested = false;
        if (registered && viewRevision > 0) {
            compare();
        }
    }

    /** Whether the membership lease is certain to hold. */
    public boolean holdsLease() {
        return loop.now().isBefore(leaseUntil);
    }

    private boolean isMember() {
        Long incarnation = view.members().get(node);
        return incarnation != null && incarnation == leaseId && leaseId != 0;
    }

    /** Whether a node's incarnation is in the view. */
    public boolean isMember(String other, long incarnation) {
        Long current = view.members().get(other);
        return current != null && current == incarnation;
    }

    private static Instant until(Instant sent, Duration time) {
        return sent.equals(Instant.MIN)
                ? sent
                : sent.plusNanos((long) (time.toNanos() * (1 - DRIFT))).minus(MARGIN);
    }

    private void acquire() {
        Instant sent = loop.now();
        registered = false;
        store.createLease(leaseDuration, result -> {
            if (!result.ok()) {
                loop.after(Duration.ofMillis(300), this::acquire);
                return;
            }
            try {
                leaseId = result.leaseId();
                leaseUntil = until(sent, leaseDuration);
                register();
                loop.after(leaseDuration.dividedBy(4), () -> renew(leaseId));
            } catch (Json.BadMessage e) {
                LOG.warn("state service: a lease could not be read: {}", e.getMessage());
                loop.after(Duration.ofSeconds(1), this::acquire);
            }
        });
    }

    private void renew(long renewed) {
        if (renewed != leaseId) {
            return;
        }
        Instant sent = loop.now();
        store.renewLease(renewed, result -> {
            if (renewed != leaseId) {
                return;
            }
            if (result.outcome() == StoreOutcome.ABSENT) {
                LOG.info("the membership lease has ended");
                leaseUntil = Instant.MIN;
                leaseId = 0;
                acquire();
                return;
            }
            if (result.ok()) {
                leaseUntil = until(sent, leaseDuration);
            }
            loop.after(result.ok() ? leaseDuration.dividedBy(4) : Duration.ofMillis(300), () -> renew(renewed));
        });
        if (registered && viewRevision > 0) {
            compare();
        }
    }

    private void compare() {
        Instant sent = loop.now();
        long stamp = viewRevision;
        store.commit(new Transaction().requireRevision(Keys.VIEW, stamp), CallPriority.LEASE, result -> {
            // Answers may overtake each other; of an older comparison nothing is learnt then.
            if (result.ok()
                    && stamp == viewRevision
                    && !sent.isBefore(lastPauseEnd)
                    && (comparisons.isEmpty() || comparisons.peekLast().sentAt().isBefore(sent))
                    && verifiedAt.isBefore(sent)) {
                comparisons.add(new Comparison(sent, result.revision()));
            }
        });
    }

    private void register() {
        long mine = leaseId;
        if (mine == 0) {
            // A repeat that was due after the lease had ended: a registration without a lease would stay for ever.
            return;
        }
        Transaction transaction =
                new Transaction().put(Keys.member(node), new MemberRegistration(mine, FORMAT).toJson(), mine);
        store.commit(transaction, CallPriority.LEASE, result -> {
            if (mine != leaseId) {
                return;
            }
            if (result.outcome() == StoreOutcome.REJECTED) {
                leaseId = 0;
                loop.after(Duration.ofMillis(300), this::acquire);
            } else if (result.ok()) {
                registered = true;
                replica.applyCommitted(transaction, result.revision());
            } else {
                loop.after(Duration.ofMillis(300), this::register);
            }
        });
    }

    /** A registration has changed; null if it is gone. */
    public void memberChanged(String name, MemberRegistration registration, long stamp) {
        if (registration == null) {
            members.remove(name);
        } else {
            members.put(name, new Member(registration.incarnation(), stamp, registration.format()));
            if (registration.format() >= FORMAT_OF_PIPELINES) {
                renewed.add(name);
            }
        }
    }

    /** The stored view has changed; null if it is gone. */
    public void viewChanged(ClusterView stored, long stamp) {
        try {
            ClusterView next = stored == null ? ClusterView.empty() : stored;
            if (next.epoch() < view.epoch()) {
                LOG.error("the view went back from epoch {} to {}", view.epoch(), next.epoch());
                return;
            }
            view = next;
            owners.clear();
            misdirected.clear();
            viewSince = loop.now();
            uncordonRequested &= view.cordoned().contains(node);
            viewRevision = stored == null ? 0 : stamp;
            comparisons.clear();
            verifiedAt = Instant.MIN;
            LOG.info(
                    "view {}: members {}, moved {}, resting {}",
                    view.epoch(),
                    view.members(),
                    view.reassigned().size(),
                    view.cordoned());
            store.divideBudgetAmong(view.members().size());
            // Moved by another meanwhile, or to be decided anew among other members.
            requestedReassignments
                    .keySet()
                    .removeIf(m -> view.reassigned().containsKey(m) || node.equals(view.owner(m)));
            if (registered && viewRevision > 0) {
                compare();
            }
            if (leaseId != 0 && view.wasEvicted(node, leaseId)) {
                leaveAfterEviction();
            }
            changed.run();
        } catch (RuntimeException e) {
            LOG.error("the view can't be applied", e);
        }
    }

    /**
     * Others took this life of the node for dead. It may have been silent for a while only; it gives its lease back and joins
     * as another life, later each time, so that a node that stalls again and again does not keep machines moving.
     */
    private void leaveAfterEviction() {
        LOG.warn("evicted from the view: joining again in {} s", rejoinAfter.toSeconds());
        long former = leaseId;
        leaseId = 0;
        registered = false;
        leaseUntil = Instant.MIN;
        store.endLease(former, result -> {});
        loop.after(rejoinAfter, this::acquire);
        rejoinAfter =
                LAST_REJOIN.compareTo(rejoinAfter.multipliedBy(2)) < 0 ? LAST_REJOIN : rejoinAfter.multipliedBy(2);
    }

    /** The incarnation of this node that is in the view, or 0. */
    public long incarnation() {
        return isMember() ? leaseId : 0;
    }

    /** Whether all members of the view read the mark of an eviction, without which they would release tasks too soon. */
    public boolean allSupportEvictions() {
        for (Map.Entry<String, Long> inView : view.members().entrySet()) {
            Member member = members.get(inView.getKey());
            if (member == null || member.incarnation() != inView.getValue() || member.format() < FORMAT_OF_EVICTIONS) {
                return false;
            }
        }
        return true;
    }

    /**
     * Proposes a view without a member whose lease may still run, provided that the member has not removed the question
     * with the given stamp meanwhile. Its registration goes in the same transaction.
     */
    void evict(String name, long incarnation, long challengeStamp, Consumer<Boolean> done) {
        if (!isMember(name, incarnation) || proposing || !allSupportEvictions()) {
            done.accept(false);
            return;
        }
        TreeMap<String, Long> remaining = new TreeMap<>(view.members());
        remaining.remove(name);
        TreeSet<String> resting = new TreeSet<>(view.cordoned());
        resting.remove(name);
        TreeMap<String, Long> evicted = new TreeMap<>(view.evicted());
        evicted.put(name, incarnation);
        ClusterView next = new ClusterView(view.epoch() + 1, remaining, new TreeMap<>(), resting, evicted);
        Transaction transaction = new Transaction().requireRevision(Keys.VIEW, viewRevision);
        view.members().keySet().forEach(member -> guardRegistration(transaction, member));
        String challenge = Keys.livenessProbe(name);
        transaction
                .requireRevision(challenge, challengeStamp)
                .put(Keys.VIEW, next.toJson())
                .delete(Keys.member(name))
                .delete(challenge);
        propose(transaction, done);
    }

    private void guardRegistration(Transaction transaction, String name) {
        Member member = members.get(name);
        transaction.requireRevision(Keys.member(name), member == null ? 0 : member.modRevision());
    }

    private void propose(Transaction transaction, Consumer<Boolean> done) {
        proposing = true;
        lastProposal = loop.now();
        store.commit(transaction, CallPriority.LEASE, result -> {
            proposing = false;
            if (result.ok()) {
                replica.applyCommitted(transaction, result.revision());
            }
            done.accept(result.ok());
        });
    }

    /** Asks for a machine that seems unable to reach its owner; once for each set of members, or it would be handed round. */
    public void requestReassignment(String machine) {
        if (requestedReassignments.size() + view.reassigned().size() < MAX_MOVES
                && !view.reassigned().containsKey(machine)) {
            requestedReassignments.put(machine, node);
        }
    }

    /** A machine came here although another member owns it. */
    public void recordMisdirectedHeartbeat(String machine, String owner) {
        misdirected.computeIfAbsent(owner, o -> new HashMap<>()).put(machine, loop.now());
    }

    /** This member rests, and has found that it reaches workers again. */
    public void requestUncordon() {
        uncordonRequested = view.cordoned().contains(node);
    }

    /**
     * The one member that many of its workers do not reach. When others' workers stray as well, the trouble is with the
     * workers, and resting would help nobody.
     */
    private String outOfReach() {
        Instant now = loop.now();
        if (view.activeMembers().size() < 2 || now.isBefore(viewSince.plus(SETTLING)) || misdirected.isEmpty()) {
            return null;
        }
        String worst = null;
        double worstPart = 0;
        double second = 0;
        for (String owner : view.activeMembers()) {
            Map<String, Instant> of = misdirected.getOrDefault(owner, new HashMap<>());
            of.values().removeIf(at -> now.isAfter(at.plus(MISDIRECTED_WITHIN)));
            int owned = ownedBy.applyAsInt(owner);
            double part = of.size() / (double) Math.max(1, owned);
            if (part > worstPart) {
                second = worstPart;
                worstPart = part;
                worst = of.size() >= LEAST_MISDIRECTED ? owner : null;
            } else {
                second = Math.max(second, part);
            }
        }
        return worst != null && !worst.equals(node) && worstPart >= OUT_OF_REACH && second < worstPart / 2
                ? worst
                : null;
    }

    /** One turn of the loop: proposes the wanted view if it differs from the one in force. */
    public void step() {
        if (!replica.loaded() || !registered || !holdsLease() || proposing) {
            return;
        }
        TreeMap<String, Long> wanted = new TreeMap<>();
        members.forEach((name, m) -> wanted.put(name, m.incarnation()));
        Long mine = wanted.get(node);
        if (mine == null || mine != leaseId) {
            // The registration of a former life, carried out again, has taken our key and goes with the lease of that
            // life.
            // registered-by-a-former-life.trace
            registered = false;
            register();
            return;
        }
        boolean sameMembers = wanted.equals(view.members());
        boolean calm = !loop.now().isBefore(lastProposal.plusSeconds(2));
        boolean moves = !requestedReassignments.isEmpty() && calm;
        String rest = sameMembers && calm ? outOfReach() : null;
        boolean wake = uncordonRequested && calm;
        if (sameMembers && !moves && !wake && rest == null) {
            return;
        }
        TreeMap<String, String> moved = new TreeMap<>();
        if (sameMembers) {
            moved.putAll(view.reassigned());
            moved.putAll(requestedReassignments);
            // The version before allowed more, which a smaller limit of values may not: a machine goes back to its
            // hash's owner.
            while (moved.size() > MAX_MOVES) {
                moved.pollLastEntry();
            }
        }
        TreeSet<String> resting = new TreeSet<>(view.cordoned());
        // Another life of a node starts afresh.
        resting.removeIf(n -> !Objects.equals(wanted.get(n), view.members().get(n)));
        if (wake) {
            resting.remove(node);
        }
        if (rest != null) {
            LOG.info("{} is out of its workers' reach: it rests", rest);
            resting.add(rest);
        }
        TreeMap<String, Long> evicted = new TreeMap<>(view.evicted());
        evicted.keySet().removeAll(wanted.keySet());
        ClusterView next = new ClusterView(view.epoch() + 1, wanted, moved, resting, evicted);
        Transaction transaction = new Transaction().requireRevision(Keys.VIEW, viewRevision);
        // A member leaves only while its leased key is certainly gone (or a later life of the node has replaced it),
        // so it can no longer hold itself entitled.
        TreeMap<String, Long> all = new TreeMap<>(wanted);
        all.putAll(view.members());
        all.keySet().forEach(name -> guardRegistration(transaction, name));
        transaction.put(Keys.VIEW, next.toJson());
        propose(transaction, committed -> {});
    }
}
