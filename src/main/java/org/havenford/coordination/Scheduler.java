package org.havenford.coordination;

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
import org.HdrHistogram.Histogram;
import org.havenford.bookkeeping.Chunk;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.MachineRecord;
import org.havenford.bookkeeping.Mirror;
import org.havenford.bookkeeping.StateStore;
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
    private static final Duration FOREIGN_PATIENCE = Duration.ofMillis(800);
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
    private final Runnable wake;
    private final Set<String> busy = new HashSet<>();
    private final Object2ObjectOpenHashMap<String, Instant> foreignSince = new Object2ObjectOpenHashMap<>();
    private final Map<String, Backoff> backoffs = new HashMap<>();
    private final Histogram roundMicros = new Histogram(60_000_000L, 2);

    private record Backoff(int errors, Instant until) {
    }

    public Scheduler(EventLoop loop, Settings settings, Operator operator, Ledger ledger, Mirror mirror, StateStore store,
            Membership membership, Fleet fleet, Runnable wake) {
        this.loop = loop;
        this.settings = settings;
        this.operator = operator;
        this.ledger = ledger;
        this.mirror = mirror;
        this.store = store;
        this.membership = membership;
        this.fleet = fleet;
        this.planner = new Planner(ledger, settings, operator);
        this.wake = wake;
    }

    public Histogram roundMicros() {
        return roundMicros;
    }

    public void step() {
        if (!mirror.loaded() || !membership.entitled()) {
            return;
        }
        Instant start = loop.now();
        release();
        place(start);
        finish();
        sweep();
        roundMicros.recordValue(Math.min(60_000_000L, Duration.between(start, loop.now()).toNanos() / 1000));
    }

    // ---- releases

    private void release() {
        Map<String, Map<TaskId, Fleet.Ending>> byChunk = new LinkedHashMap<>();
        fleet.endings().forEach((task, ending) -> {
            Job j = ledger.job(task.job());
            if (j != null && j.claim(task.index()) != null) {
                byChunk.computeIfAbsent(Keys.tasks(task.job(), j.chunkOf(task.index())), k -> new LinkedHashMap<>())
                        .put(task, ending);
            }
        });
        byChunk.forEach(this::release);
    }

    private void release(String key, Map<TaskId, Fleet.Ending> ended) {
        if (busy.contains(key)) {
            return;
        }
        Job job = ledger.job(ended.keySet().iterator().next().job());
        int index = job.chunkOf(ended.keySet().iterator().next().index());
        Chunk next = job.stored(index).copy();
        ended.forEach((task, e) -> {
            if (e.done()) {
                next.finish(task.index(), e.fetchSeconds(), e.runSeconds());
            } else {
                next.release(task.index(), e.late(), e.failed());
            }
        });
        StateStore.Txn txn = new StateStore.Txn().guard(Keys.VIEW, membership.viewStamp()).guard(key, mirror.stamp(key));
        if (job.chunkCount() == 1 && next.complete() && !job.cancelled()) {
            txn.guard(Keys.job(job.id()), mirror.stamp(Keys.job(job.id())));
            txn.delete(key).delete(Keys.job(job.id())).set(Keys.end(job.id()), end("done", job));
        } else {
            txn.set(key, next.toJson());
        }
        commit(txn, List.of(key), () -> ended.keySet().forEach(fleet.endings()::remove));
    }

    private static JsonObject end(String status, Job job) {
        JsonObject o = new JsonObject();
        o.addProperty("status", status);
        o.addProperty("tasks", job.spec().tasks());
        return o;
    }

    private void commit(StateStore.Txn txn, List<String> locks, Runnable onSuccess) {
        busy.addAll(locks);
        store.commit(txn, StateStore.Urgency.WORK, r -> {
            if (r.ok()) {
                onSuccess.run();
                mirror.committed(txn, r.edition());
            }
            if (r.ok()) {
                busy.removeAll(locks);
                wake.run();
            } else {
                // After a conflict the watch brings what we lack; a moment later the round decides anew.
                loop.after(Duration.ofMillis(r.outcome() == StateStore.Outcome.CONFLICT ? 30 : 250), () -> {
                    busy.removeAll(locks);
                    wake.run();
                });
            }
        });
    }

    // ---- claims

    private void place(Instant start) {
        Instant deadline = start.plus(operator.roundBudget());
        Map<String, Planner.Room> rooms = planner.rooms(fleet::usable);
        String self = settings.node();
        View view = membership.view();
        Set<String> impatient = new HashSet<>();
        foreignSince.forEach((job, since) -> {
            if (start.isAfter(since.plus(FOREIGN_PATIENCE))) {
                impatient.add(job);
            }
        });
        Planner.Limits limits = new Planner.Limits(m -> true, this::held,
                p -> impatient.contains(p.task().job()) && !self.equals(view.owner(p.machine()))
                        || fleet.avoided(p.task(), p.machine()),
                () -> loop.now().isAfter(deadline));
        Planner.Plan plan = planner.plan(loop.timeOfDay(), limits, rooms);
        Map<String, List<Planner.Placement>> mine = new LinkedHashMap<>();
        Set<String> foreign = new HashSet<>();
        for (Planner.Placement p : plan.placements()) {
            if (self.equals(view.owner(p.machine()))) {
                Job j = ledger.job(p.task().job());
                mine.computeIfAbsent(Keys.tasks(j.id(), j.chunkOf(p.task().index())), k -> new ArrayList<>()).add(p);
            } else {
                foreign.add(p.task().job());
            }
        }
        foreignSince.keySet().retainAll(foreign);
        foreign.forEach(j -> foreignSince.putIfAbsent(j, start));
        impatient.forEach(foreignSince::remove);
        mine.forEach(this::claim);
        plan.preempted().forEach(fleet::preempt);
    }

    private boolean held(Job job) {
        int errors = job.errors();
        if (errors == 0) {
            backoffs.remove(job.id());
            return false;
        }
        Backoff b = backoffs.get(job.id());
        if (b == null || b.errors != errors) {
            b = new Backoff(errors, loop.now().plusMillis((long) Math.min(60_000, 500 * Math.pow(2, Math.min(10, errors - 1)))));
            backoffs.put(job.id(), b);
        }
        return loop.now().isBefore(b.until);
    }

    private void claim(String key, List<Planner.Placement> placements) {
        Job job = ledger.job(placements.get(0).task().job());
        Settings.Team team = settings.teams().get(job.spec().team());
        boolean limited = team != null && team.limited();
        boolean spread = job.spec().together() || job.spec().apart();
        String jobKey = Keys.job(job.id());
        String teamKey = Keys.team(job.spec().team());
        List<String> locks = new ArrayList<>(List.of(key));
        if (limited) {
            locks.add(teamKey);
        }
        if (spread) {
            locks.add(jobKey);
        }
        for (String lock : locks) {
            if (busy.contains(lock)) {
                return;
            }
        }
        StateStore.Txn txn = new StateStore.Txn().guard(Keys.VIEW, membership.viewStamp())
                .guard(jobKey, mirror.stamp(jobKey)).guard(key, mirror.stamp(key));
        if (limited) {
            // The team's key changes with every claim of the team. So whoever holds its newest stamp has seen all
            // claims, and the usage counted from them is not too low.
            txn.guard(teamKey, mirror.stamp(teamKey));
            JsonObject by = new JsonObject();
            by.addProperty("by", settings.node());
            txn.set(teamKey, by);
        }
        if (spread) {
            // For the same reason: where tasks must stay together or apart, every claim of the job is seen by the next.
            txn.set(jobKey, job.header(false));
        }
        Chunk next = job.chunk(job.chunkOf(placements.get(0).task().index())).copy();
        Set<String> machines = new HashSet<>();
        int most = settings.txnOps() * 4 - 6;
        for (Planner.Placement p : placements) {
            MachineState m = fleet.state(p.machine());
            MachineRecord r = ledger.machine(p.machine());
            if (m == null || m.report == null || r == null || !machines.contains(p.machine()) && machines.size() >= most) {
                continue;
            }
            if (machines.add(p.machine())) {
                txn.guard(Keys.machine(p.machine()), mirror.stamp(Keys.machine(p.machine())));
            }
            next.claim(p.task().index(), p.machine(), m.report.session(), loop.timeOfDay());
        }
        if (machines.isEmpty()) {
            return;
        }
        txn.set(key, next.toJson());
        commit(txn, locks, () -> loop.after(Duration.ZERO, () -> machines.forEach(name -> {
            MachineState m = fleet.state(name);
            if (m != null) {
                fleet.push(m);
            }
        })));
    }

    // ---- ends of jobs

    /** Jobs whose tasks are all done, or that were cancelled and hold nothing any more. One member looks after each. */
    private void finish() {
        for (Job j : List.copyOf(ledger.jobs())) {
            boolean done = !j.cancelled() && j.doneCount() == j.spec().tasks();
            boolean withdrawn = j.cancelled() && j.claimCount() == 0;
            if ((done || withdrawn) && settings.node().equals(membership.view().rendezvous(j.id()))
                    && !busy.contains(Keys.job(j.id()))) {
                conclude(j, done);
            }
        }
    }

    /** Chunks of large jobs that are over. */
    private void sweep() {
        if (ledger.orphans().isEmpty() || busy.contains(SWEEP) || !settings.node().equals(membership.view().first())) {
            return;
        }
        StateStore.Txn txn = new StateStore.Txn();
        for (String path : ledger.orphans()) {
            if (txn.writes() < settings.txnOps() - 2) {
                txn.guard(Keys.job(path.substring(0, path.indexOf('/'))), 0).delete(Keys.TASKS + path);
            }
        }
        commit(txn, List.of(SWEEP), () -> { });
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
        boolean last = left <= Math.min(MAX_FINAL_CHUNKS, settings.txnOps() - 3);
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
        commit(txn, List.of(Keys.job(j.id())), () -> LOG.debug("{} concluded", j.id()));
    }
}
