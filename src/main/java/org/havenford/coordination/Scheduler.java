package org.havenford.coordination;

import com.google.common.collect.Lists;
import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.havenford.bookkeeping.Chunk;
import org.havenford.bookkeeping.Claim;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.MachineRecord;
import org.havenford.bookkeeping.Mirror;
import org.havenford.bookkeeping.Quota;
import org.havenford.bookkeeping.Quota.Amount;
import org.havenford.bookkeeping.StateStore;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;
import org.havenford.protocol.Settings;
import org.havenford.protocol.TaskId;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Turns plans into claims, endings into releases, and finished jobs into final states. Every write is guarded by the
 * stamps it was decided on. So an unanswered transaction needs no special care: whether it was applied, or comes late,
 * the next one on the same key either fails and is decided anew, or has ruled the late one out.
 */
public final class Scheduler {
    private static final Logger LOG = LoggerFactory.getLogger(Scheduler.class);
    /** How long another owner may leave a planned task lying before its machines are left out of the plan. */
    private static final Duration FOREIGN_PATIENCE = Duration.ofMillis(1500);
    /** Ends are written together, so that a job's tasks that end one after the other do not cost a change each. */
    private static final Duration GATHER = Duration.ofMillis(500);

    private static final Duration GATHER_PRESSED = Duration.ofSeconds(4);
    private static final Duration GATHER_SCARCE = Duration.ofSeconds(8);
    /** Claims that may wait for the store's limits: beyond, urgent work would stand in line behind what is not. */
    private static final int MOST_WAITING_CLAIMS = 3;

    private static final Duration REJECTED_RESTS = Duration.ofSeconds(20);
    private static final Duration COPY_PATIENCE = Duration.ofSeconds(1);
    /** After a claim has failed because of another's, each chunk is left to its first owner for a while. */
    private static final Duration CROWDED = Duration.ofSeconds(5);

    private static final Duration HELP_AFTER = Duration.ofMillis(1500);
    /** Under pressure room is gathered, so that one claim takes several tasks of a chunk. */
    private static final Duration PLACE_PRESSED = Duration.ofMillis(500);

    private static final Duration SHARES_EVERY = Duration.ofSeconds(1);
    /** Parts of an even share of a team's limit in which shares are taken. */
    private static final int LUMPS = 4;

    private static final int MAX_FINAL_CHUNKS = 8;
    private static final String SWEEP = "sweep";

    private final EventLoop loop;
    private final Settings settings;
    private final Operator operator;
    private final Ledger ledger;
    private final Mirror mirror;
    private final StateStore store;
    private final Membership membership;
    private final Fleet fleet;
    private final Planner planner;
    private final Pipelines pipelines;
    private final Duration gatherPressed;
    private final Runnable wake;
    private final Set<String> busy = new HashSet<>();
    private final Object2ObjectOpenHashMap<String, Wait> waits = new Object2ObjectOpenHashMap<>();
    /** Chunks with ends to be released, and since when. */
    private final Map<String, Instant> gathering = new HashMap<>();

    private final List<Charge> charges = new ArrayList<>();
    private final List<Awaited> awaited = new ArrayList<>();
    private final Set<String> shortTeams = new HashSet<>();
    /** Claims under way, by machine: their room is taken already. */
    private final Map<String, List<JobSpec>> underWay = new HashMap<>();
    /** Chunks whose first owner had no room: first and last time that this was seen in a row. */
    private final Map<String, Instant[]> withoutRoom = new HashMap<>();

    private Instant crowdedUntil = Instant.MIN;
    private Instant nextPlace = Instant.MIN;
    private Instant nextShares = Instant.MIN;
    private final Map<String, Backoff> backoffs = new HashMap<>();
    private final Histogram roundMicros = new Histogram(60_000_000L, 2);

    private record Backoff(int errors, Instant until) {}

    /** A chunk whose tasks are planned for machines of others. */
    private static final class Wait {
        private final Set<String> passedOver = new HashSet<>();
        private String owner;
        private Instant since;

        void waitFor(String other, Instant now) {
            if (!other.equals(owner)) {
                owner = other;
                since = now;
            } else if (now.isAfter(since.plus(FOREIGN_PATIENCE))) {
                passedOver.add(owner);
            }
        }
    }

    public Scheduler(
            EventLoop loop,
            Settings settings,
            Operator operator,
            Ledger ledger,
            Mirror mirror,
            StateStore store,
            Membership membership,
            Fleet fleet,
            Runnable wake) {
        this.loop = loop;
        this.settings = settings;
        this.operator = operator;
        this.ledger = ledger;
        this.mirror = mirror;
        this.store = store;
        this.membership = membership;
        this.fleet = fleet;
        this.planner = new Planner(ledger, settings, operator, membership::owner);
        this.wake = wake;
        this.gatherPressed = settings.scarceChanges() ? GATHER_SCARCE : GATHER_PRESSED;
        this.pipelines = new Pipelines(loop, ledger, store, wake);
    }

    public Histogram roundMicros() {
        return roundMicros;
    }

    public void step() {
        if (!mirror.loaded() || !membership.entitled()) {
            return;
        }
        Instant start = loop.now();
        freeAwaited(start);
        if (busy.contains(Keys.VIEW)) {
            return;
        }
        settleCharges();
        place(start);
        release();
        finish();
        pipelines();
        sweep();
        shares(start);
        roundMicros.recordValue(
                Math.min(60_000_000L, Duration.between(start, loop.now()).toNanos() / 1000));
    }

    /** The machine, its claims or the ends on it have changed. */
    public void machineChanged(String machine) {
        planner.changed(machine);
    }

    /** The view or the machine types have changed. */
    public void allChanged() {
        planner.allChanged();
    }

    // ---- releases

    private void release() {
        if (fleet.endings().isEmpty()) {
            return;
        }
        Map<String, Map<Claim, Fleet.Ending>> byChunk = new LinkedHashMap<>();
        fleet.endings().forEach((claim, ending) -> {
            TaskId task = claim.task();
            Job j = ledger.job(task.job());
            if (j != null && claim.equals(j.claim(task.index()))) {
                byChunk.computeIfAbsent(Keys.tasks(task.job(), j.chunkOf(task.index())), k -> new LinkedHashMap<>())
                        .put(claim, ending);
            }
        });
        Duration gather = store.pressed() ? gatherPressed : GATHER;
        Instant now = loop.now();
        byChunk.forEach((key, ended) -> {
            if (!busy.contains(key)
                    && (now.isAfter(gathering.computeIfAbsent(key, k -> now).plus(gather)) || urgent(ended))) {
                release(key, ended);
            }
        });
        gathering.keySet().retainAll(byChunk.keySet());
    }

    /** Ends that somebody waits for: the last of a job's tasks, and those that have to start again. */
    private boolean urgent(Map<Claim, Fleet.Ending> ended) {
        Job job = ledger.job(ended.keySet().iterator().next().task().job());
        int chunk = job.chunkOf(ended.keySet().iterator().next().task().index());
        return job.stored(chunk).doneCount() + ended.size() == job.stored(chunk).size() && job.pendingCount() == 0
                || job.cancelled()
                || ended.values().stream().anyMatch(e -> !e.done());
    }

    private static void apply(Map<Claim, Fleet.Ending> ended, Chunk next) {
        ended.forEach((claim, e) -> {
            TaskId task = claim.task();
            if (e.done()) {
                next.finish(task.index(), e.fetchSeconds(), e.runSeconds());
            } else {
                next.release(task.index(), e.late(), e.failed());
            }
        });
    }

    private void release(String key, Map<Claim, Fleet.Ending> ended) {
        Job job = ledger.job(ended.keySet().iterator().next().task().job());
        int index = job.chunkOf(ended.keySet().iterator().next().task().index());
        Chunk next = job.stored(index).copy();
        apply(ended, next);
        StateStore.Txn txn =
                new StateStore.Txn().guard(Keys.VIEW, membership.viewStamp()).guard(key, mirror.stamp(key));
        // Users and pipelines wait for the end of a job; it must not stand behind all claims.
        StateStore.Urgency urgency = StateStore.Urgency.WORK;
        if (job.pendingCount() == 0 && job.claimCount() == ended.size()) {
            urgency = StateStore.Urgency.CLAIM;
        }
        if (job.chunkCount() == 1 && next.complete() && !job.cancelled()) {
            txn.guard(Keys.job(job.id()), mirror.stamp(Keys.job(job.id())));
            txn.delete(key).delete(Keys.job(job.id())).set(Keys.end(job.id()), end("done", job));
        } else {
            JsonObject value = json(next);
            if (value == null) {
                // Too large for now, as the version before wrote it; it goes when more of its tasks have ended.
                return;
            }
            txn.set(key, value);
        }
        commit(txn, urgency, List.of(key), () -> ended.keySet().forEach(fleet.endings()::remove), r -> {});
    }

    private static JsonObject end(String status, Job job) {
        JsonObject o = new JsonObject();
        o.addProperty("status", status);
        o.addProperty("tasks", job.spec().tasks());
        return o;
    }

    private JsonObject json(Chunk c) {
        return c.toJson(settings.valueBytes(), settings.presentValueBytes(), membership.allReadFormat2());
    }

    private void commit(StateStore.Txn txn, List<String> locks, Runnable onSuccess) {
        commit(txn, StateStore.Urgency.WORK, locks, onSuccess, r -> {});
    }

    /** {@code after} hears of every result, of a good one when our copy shows it. */
    private void commit(
            StateStore.Txn txn,
            StateStore.Urgency urgency,
            List<String> locks,
            Runnable onSuccess,
            Consumer<StateStore.Result> after) {
        commit(txn, urgency, false, locks, onSuccess, after);
    }

    private void commit(
            StateStore.Txn txn,
            StateStore.Urgency urgency,
            boolean isClaim,
            List<String> locks,
            Runnable onSuccess,
            Consumer<StateStore.Result> after) {
        busy.addAll(locks);
        store.commit(txn, urgency, r -> {
            if (r.ok()) {
                onSuccess.run();
                mirror.committed(txn, r.edition());
                after.accept(r);
                busy.removeAll(locks);
                wake.run();
                return;
            }
            after.accept(r);
            if (r.outcome() == StateStore.Outcome.CONFLICT) {
                crowdedUntil = isClaim ? loop.now().plus(CROWDED) : crowdedUntil;
                outdated(r, locks);
                return;
            }
            // What the service calls malformed or too large would be so again: it is in the log, and other work comes
            // first.
            loop.after(r.outcome() == StateStore.Outcome.REJECTED ? REJECTED_RESTS : Duration.ofMillis(250), () -> {
                busy.removeAll(locks);
                wake.run();
            });
        });
    }

    /**
     * Our copy lacks what made the conflict. Until the watch has brought it, nothing is decided on the keys concerned:
     * it would only fail again.
     */
    private void outdated(StateStore.Result r, List<String> locks) {
        Set<String> keys = new HashSet<>(locks);
        try {
            keys.addAll(Json.texts(r.body(), "failed"));
        } catch (Json.BadMessage e) {
            LOG.warn("state service: a conflict does not name its keys: {}", e.getMessage());
        }
        keys.removeIf(k -> !locks.contains(k) && busy.contains(k));
        busy.addAll(keys);
        awaited.add(new Awaited(r.edition(), loop.now().plus(COPY_PATIENCE), keys));
    }

    /** Keys on which nothing is decided before our copy has reached an edition. */
    private record Awaited(long edition, Instant until, Set<String> keys) {}

    private void freeAwaited(Instant now) {
        awaited.removeIf(a -> {
            boolean over = mirror.edition() >= a.edition || now.isAfter(a.until);
            if (over) {
                busy.removeAll(a.keys);
            }
            return over;
        });
    }

    // ---- claims

    private void place(Instant start) {
        if (start.isBefore(nextPlace)) {
            return;
        }
        nextPlace = store.pressed() ? start.plus(PLACE_PRESSED) : start;
        Instant deadline = start.plus(operator.roundBudget());
        String self = settings.node();
        Planner.Limits limits = new Planner.Limits(
                m -> fleet.usable(m, start),
                fleet::images,
                fleet::condition,
                this::held,
                p -> fleet.avoided(p.task(), p.machine()),
                fleet.endings()::containsKey,
                m -> underWay.getOrDefault(m, List.of()),
                List.copyOf(membership.view().active()),
                (key, owner) ->
                        waits.containsKey(key) && waits.get(key).passedOver.contains(owner),
                key -> helped(key, start),
                start.isBefore(crowdedUntil),
                () -> loop.now().isAfter(deadline));
        Planner.Plan plan = planner.plan(loop.timeOfDay(), limits);
        Map<String, List<Planner.Placement>> mine = new LinkedHashMap<>();
        Set<String> foreign = new HashSet<>();
        for (Planner.Placement p : plan.placements()) {
            Job j = ledger.job(p.task().job());
            String key = Keys.tasks(j.id(), j.chunkOf(p.task().index()));
            String owner = membership.owner(p.machine());
            if (self.equals(owner)) {
                mine.computeIfAbsent(key, k -> new ArrayList<>()).add(p);
            } else if (foreign.add(key) && !store.pressed()) {
                waits.computeIfAbsent(key, k -> new Wait()).waitFor(owner, start);
            }
        }
        waits.entrySet()
                .removeIf(w -> !foreign.contains(w.getKey())
                        && start.isAfter(w.getValue().since.plus(FOREIGN_PATIENCE.multipliedBy(4))));
        withoutRoom.values().removeIf(w -> w[1].isBefore(start.minus(HELP_AFTER)));
        for (Map.Entry<String, List<Planner.Placement>> e : mine.entrySet()) {
            if (store.queued(StateStore.Urgency.CLAIM) >= MOST_WAITING_CLAIMS) {
                // What waits for the store's limits goes in the order in which it came: the next round decides anew who
                // is first.
                break;
            }
            claim(e.getKey(), e.getValue());
        }
        plan.preempted().forEach(fleet::preempt);
    }

    /** Whether a chunk's first owner has had no room for so long that another may take some of it. */
    private boolean helped(String key, Instant now) {
        Instant[] since = withoutRoom.computeIfAbsent(key, k -> new Instant[] {now, now});
        since[1] = now;
        return now.isAfter(since[0].plus(HELP_AFTER));
    }

    private boolean held(Job job) {
        int errors = job.errors();
        if (errors == 0) {
            backoffs.remove(job.id());
            return false;
        }
        Backoff b = backoffs.get(job.id());
        if (b == null || b.errors != errors) {
            b = new Backoff(errors, loop.now().plusMillis((long)
                    Math.min(60_000, 500 * Math.pow(2, Math.min(10, errors - 1)))));
            backoffs.put(job.id(), b);
        }
        return loop.now().isBefore(b.until);
    }

    private void claim(String key, List<Planner.Placement> planned) {
        Job job = ledger.job(planned.get(0).task().job());
        if (job.waiting()) {
            // The plan leaves it out; that no task starts before its job is let go rests on this and on the header's
            // guard.
            return;
        }
        Settings.Team team = settings.teams().get(job.spec().team());
        boolean limited = team != null && team.limited();
        boolean spread = job.spec().together() || job.spec().apart();
        String jobKey = Keys.job(job.id());
        String teamKey = Keys.team(job.spec().team());
        List<String> locks = new ArrayList<>(List.of(key));
        if (spread) {
            locks.add(jobKey);
        }
        List<Planner.Placement> placements = planned;
        StateStore.Txn txn = new StateStore.Txn()
                .guard(Keys.VIEW, membership.viewStamp())
                .guard(jobKey, mirror.stamp(jobKey))
                .guard(key, mirror.stamp(key));
        if (limited) {
            Amount one = new Amount(job.spec().cpus(), job.spec().cards());
            int most = takeShare(team, teamKey, one, planned.size(), txn);
            if (txn.writes() > 0) {
                locks.add(teamKey);
            }
            placements = planned.subList(0, most);
        }
        for (String lock : locks) {
            if (busy.contains(lock)) {
                return;
            }
        }
        if (spread) {
            // Where tasks must stay together or apart, each claim of the job writes its header: so it is seen by the
            // next.
            txn.set(jobKey, job.header(false));
        }
        int index = job.chunkOf(planned.get(0).task().index());
        Chunk next = job.chunk(index).copy();
        Map<Claim, Fleet.Ending> ended = new HashMap<>();
        for (Claim c : job.chunk(index).claims()) {
            Fleet.Ending e = fleet.endings().get(c);
            if (e != null) {
                ended.put(c, e);
            }
        }
        apply(ended, next);
        Set<String> machines = new HashSet<>();
        Set<String> batches = new HashSet<>();
        int claimed = 0;
        int most = settings.txnOps() * 4 - 6;
        for (Planner.Placement p : placements) {
            MachineState m = fleet.state(p.machine());
            MachineRecord r = ledger.machine(p.machine());
            Set<String> of = ledger.batchesOf(p.machine());
            if (m == null
                    || m.report == null
                    || r == null
                    || batches.size() + of.size() > most
                    || of.stream().anyMatch(b -> busy.contains(Keys.batch(b)))) {
                continue;
            }
            // A machine that is to go changes its batch.
            for (String batch : of) {
                if (batches.add(batch)) {
                    txn.guard(Keys.batch(batch), mirror.stamp(Keys.batch(batch)));
                }
            }
            machines.add(p.machine());
            next.claim(
                    p.task().index(),
                    p.machine(),
                    m.report.session(),
                    loop.timeOfDay(),
                    limited ? settings.node() : "");
            claimed++;
        }
        if (claimed == 0) {
            return;
        }
        JsonObject value = json(next);
        if (value == null) {
            return;
        }
        txn.set(key, value);
        Amount taken = new Amount(job.spec().cpus(), job.spec().cards()).times(claimed);
        Charge charge = limited
                ? new Charge(team.name(), taken, job.id(), key, mirror.stamp(key), membership.viewStamp())
                : null;
        if (limited) {
            charges.add(charge);
        }
        List<String> each = new ArrayList<>();
        next.claims().forEach(c -> {
            if (job.claim(c.task().index()) != c) {
                each.add(c.machine());
            }
        });
        each.forEach(
                name -> underWay.computeIfAbsent(name, n -> new ArrayList<>()).add(job.spec()));
        commit(
                txn,
                StateStore.Urgency.CLAIM,
                true,
                locks,
                () -> {
                    ended.keySet().forEach(fleet.endings()::remove);
                    loop.after(
                            Duration.ZERO,
                            () -> machines.forEach(name -> {
                                MachineState m = fleet.state(name);
                                if (m != null) {
                                    fleet.push(m);
                                }
                            }));
                },
                r -> {
                    each.forEach(name -> {
                        List<JobSpec> on = underWay.get(name);
                        on.remove(job.spec());
                        if (on.isEmpty()) {
                            underWay.remove(name);
                        }
                        planner.changed(name);
                    });
                    if (limited && r.outcome() != StateStore.Outcome.UNKNOWN) {
                        charges.remove(charge);
                    }
                });
    }

    // ---- teams' limits

    /** Claims under way, or without an answer: they count until they are seen or ruled out. */
    private static final class Charge {
        private final String team;
        private final Amount amount;
        private final String job;
        private final String key;
        private final long stamp;
        private final long viewStamp;

        Charge(String team, Amount amount, String job, String key, long stamp, long viewStamp) {
            this.team = team;
            this.amount = amount;
            this.job = job;
            this.key = key;
            this.stamp = stamp;
            this.viewStamp = viewStamp;
        }
    }

    /**
     * A transaction without an answer can't be applied any more once its chunk or the view has another stamp, or its job is
     * gone; if it was applied before that, its claims are in our copy by now.
     */
    private void settleCharges() {
        charges.removeIf(c -> !busy.contains(c.key)
                && (mirror.stamp(c.key) != c.stamp
                        || ledger.job(c.job) == null
                        || membership.viewStamp() != c.viewStamp && membership.sawAllBeforeView()));
    }

    private Amount held(String team) {
        Amount sum = ledger.charged(team, settings.node());
        for (Charge c : charges) {
            if (c.team.equals(team)) {
                sum = sum.plus(c.amount);
            }
        }
        return sum;
    }

    private static Amount limit(Settings.Team team) {
        return new Amount(
                team.cpusMax() > 0 ? team.cpusMax() : Double.MAX_VALUE / 4,
                team.cardsMax() > 0 ? team.cardsMax() : Double.MAX_VALUE / 4);
    }

    /**
     * How many of the wanted claims our share of the team's limit allows, adding to the share from what is free where
     * needed. Each claim is guarded by the stamp of the shares, and charged to the share of the controller that makes it;
     * only that controller adds to what is charged to it, so it knows the sum, or more. All claims of the team are then
     * within the shares, and those within the limit.
     */
    private int takeShare(Settings.Team team, String teamKey, Amount one, int wanted, StateStore.Txn txn) {
        if (busy.contains(teamKey) || !membership.sawAllBeforeView()) {
            // A former life of this node may have made claims that our copy does not show yet.
            return 0;
        }
        txn.guard(teamKey, mirror.stamp(teamKey));
        Quota quota = ledger.quota(team.name());
        Amount held = held(team.name());
        Amount share = quota.share(settings.node());
        if (held.plus(one.times(wanted)).within(share)) {
            return wanted;
        }
        Amount free = limit(team).minus(quota.dealt()).most(Amount.NONE);
        Amount aim =
                held.plus(one.times(wanted)).plus(lump(team)).most(lump(team).times(LUMPS));
        Amount next = share.plus(aim.minus(share).most(Amount.NONE).least(free));
        int n = wanted;
        while (n > 0 && !held.plus(one.times(n)).within(next)) {
            n--;
        }
        if (n < wanted) {
            shortTeams.add(team.name());
        }
        if (n > 0 && !held.plus(one.times(n)).within(share)) {
            txn.set(
                    teamKey,
                    quota.with(settings.node(), next)
                            .withShort(settings.node(), n < wanted)
                            .toJson());
        }
        return n;
    }

    /** What a controller takes beyond its need, so that not each claim has to write the shares. */
    private Amount lump(Settings.Team team) {
        double part = 1.0 / (LUMPS * Math.max(1, membership.view().members().size()));
        return new Amount(team.cpusMax() * part, team.cardsMax() * part);
    }

    /**
     * Gives back what can be spared while somebody is short, and what controllers held that are gone. Each change of the
     * shares fails the team's claims that are under way, so there are none without need.
     */
    private void shares(Instant now) {
        if (now.isBefore(nextShares) || !membership.sawAllBeforeView()) {
            return;
        }
        nextShares = now.plus(SHARES_EVERY);
        String self = settings.node();
        for (Settings.Team team : settings.teams().values()) {
            String key = Keys.team(team.name());
            if (!team.limited() || busy.contains(key)) {
                continue;
            }
            Quota quota = ledger.quota(team.name());
            Quota next = quota;
            Amount held = held(team.name());
            Amount share = quota.share(self);
            boolean isShort = shortTeams.contains(team.name());
            if (isShort != quota.shortOf().contains(self)) {
                next = next.withShort(self, isShort);
            }
            boolean othersShort = quota.shortOf().stream().anyMatch(n -> !n.equals(self));
            Amount spare = share.minus(held).most(Amount.NONE);
            if (othersShort && !isShort && !spare.within(Amount.NONE)) {
                // Half of it, or all where it is little: tasks of our own come in as well.
                next = next.with(self, spare.within(lump(team)) ? held.least(share) : share.minus(spare.times(0.5)));
            }
            if (self.equals(membership.view().first())) {
                for (String holder : quota.holders()) {
                    Amount theirs = ledger.charged(team.name(), holder);
                    if (!membership.view().members().containsKey(holder)
                            && !quota.share(holder).within(theirs)) {
                        next = next.with(holder, theirs.least(quota.share(holder)))
                                .withShort(holder, false);
                    }
                }
            }
            if (next != quota) {
                StateStore.Txn txn = new StateStore.Txn()
                        .guard(Keys.VIEW, membership.viewStamp())
                        .guard(key, mirror.stamp(key))
                        .set(key, next.toJson());
                commit(txn, List.of(key), () -> {});
            }
        }
        shortTeams.clear();
    }

    // ---- ends of jobs

    /** Jobs whose tasks are all done, or that were cancelled and hold nothing any more. One member looks after each. */
    private void finish() {
        for (Job j : List.copyOf(ledger.jobs())) {
            boolean done = !j.cancelled() && j.doneCount() == j.spec().tasks();
            // Our own cancellation is in our copy at once, another's claim that came just before it only with the
            // watch: a
            // claim that we don't know of would be dropped with its task still running. cancel-overtakes-claim.trace
            boolean withdrawn =
                    j.cancelled() && j.claimCount() == 0 && mirror.edition() >= mirror.stamp(Keys.job(j.id()));
            if ((done || withdrawn)
                    && settings.node().equals(membership.view().rendezvous(j.id()))
                    && !busy.contains(Keys.job(j.id()))) {
                conclude(j, done);
            }
        }
    }

    // ---- jobs that wait for others

    /** Lets go, or takes along, the jobs whose fate is decided by those that they need. One member looks after each. */
    private void pipelines() {
        List<String> withdrawn = new ArrayList<>();
        for (String id : List.copyOf(ledger.waiting())) {
            Job j = ledger.job(id);
            if (j.cancelled()
                    || busy.contains(Keys.job(id))
                    || !settings.node().equals(membership.view().rendezvous(id))) {
                continue;
            }
            switch (pipelines.fate(j)) {
                case WITHDRAWN -> withdrawn.add(id);
                case DONE -> {
                    String key = Keys.job(id);
                    LOG.debug("{} has all that it awaits", id);
                    commit(
                            new StateStore.Txn()
                                    .guard(key, mirror.stamp(key))
                                    .set(key, j.readyHeader(loop.timeOfDay())),
                            StateStore.Urgency.CLAIM,
                            List.of(key),
                            () -> {},
                            r -> {});
                }
                default -> {}
            }
        }
        // It has never been let go, so it holds no task: with the guard on its header nobody can claim one any more.
        for (List<String> some : Lists.partition(withdrawn, Math.max(1, settings.txnOps() / 2))) {
            StateStore.Txn txn = new StateStore.Txn();
            List<String> locks = new ArrayList<>();
            for (String id : some) {
                String key = Keys.job(id);
                locks.add(key);
                txn.guard(key, mirror.stamp(key))
                        .set(Keys.end(id), end("withdrawn", ledger.job(id)))
                        .delete(key);
                pipelines.known(id, Pipelines.Fate.WITHDRAWN);
            }
            LOG.info("withdrawn with a job that they need: {}", some);
            commit(txn, StateStore.Urgency.CLAIM, locks, () -> {}, r -> {});
        }
    }

    /** Chunks of large jobs that are over. */
    private void sweep() {
        if (ledger.orphans().isEmpty()
                || busy.contains(SWEEP)
                || !settings.node().equals(membership.view().first())) {
            return;
        }
        StateStore.Txn txn = new StateStore.Txn();
        for (String path : ledger.orphans()) {
            if (txn.writes() < settings.txnOps() - 2) {
                txn.guard(Keys.job(path.substring(0, path.indexOf('/'))), 0).delete(Keys.TASKS + path);
            }
        }
        commit(txn, List.of(SWEEP), () -> {});
    }

    private void conclude(Job j, boolean done) {
        StateStore.Txn txn = new StateStore.Txn().guard(Keys.job(j.id()), mirror.stamp(Keys.job(j.id())));
        int left = 0;
        for (int i = 0; i < j.chunkCount(); i++) {
            if (j.stored(i) != null) {
                left++;
            }
        }
        // A job of many chunks is taken down bit by bit; its header goes last, together with the final state.
        boolean last = left <= Math.min(MAX_FINAL_CHUNKS, settings.txnOps() - 2);
        if (!last && done) {
            txn.set(Keys.end(j.id()), end("done", j)).delete(Keys.job(j.id()));
        } else if (last) {
            for (int i = 0; i < j.chunkCount(); i++) {
                if (j.stored(i) != null) {
                    txn.guard(Keys.tasks(j.id(), i), mirror.stamp(Keys.tasks(j.id(), i)));
                    txn.delete(Keys.tasks(j.id(), i));
                }
            }
            txn.set(Keys.end(j.id()), end(done ? "done" : "withdrawn", j)).delete(Keys.job(j.id()));
        } else {
            for (int i = 0; i < j.chunkCount() && txn.writes() < settings.txnOps() - 1; i++) {
                if (j.stored(i) != null) {
                    txn.guard(Keys.tasks(j.id(), i), mirror.stamp(Keys.tasks(j.id(), i)));
                    txn.delete(Keys.tasks(j.id(), i));
                }
            }
        }
        commit(
                txn,
                last || done ? StateStore.Urgency.CLAIM : StateStore.Urgency.WORK,
                List.of(Keys.job(j.id())),
                () -> LOG.debug("{} concluded", j.id()),
                r -> {});
    }
}
