package org.havenford.coordination;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.havenford.bookkeeping.Chunk;
import org.havenford.bookkeeping.Claim;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.MachineRecord;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.Settings;
import org.havenford.protocol.TaskId;

/**
 * Decides what should run where, from a snapshot. Every controller plans for the whole fleet and claims only on the
 * machines it owns; since all see the same store, their plans mostly agree, and a guarded claim settles the rest.
 */
public final class Planner {
    public record Placement(TaskId task, String machine) {
    }

    /** What to claim, and which claims to give up so that more urgent work can start. */
    public record Plan(List<Placement> placements, List<Claim> preempted) {
    }

    /** Room left on a machine, claims not confirmed gone counted as taken. */
    static final class Room {
        final MachineRecord machine;
        final MachineType type;
        double cpus;
        double cards;
        double mem;
        final Set<String> images = new HashSet<>();
        final List<Claim> claims = new ArrayList<>();
        /** Images that claims on this machine may still be fetching. */
        final Set<String> fetching = new HashSet<>();

        Room(MachineRecord machine, MachineType type) {
            this.machine = machine;
            this.type = type;
            cpus = type.cpus();
            cards = type.cards();
            mem = type.memGb();
            images.addAll(machine.images());
        }

        boolean fits(JobSpec s) {
            return s.cpus() <= cpus + 1e-6 && s.cards() <= cards + 1e-6 && s.memGb() <= mem + 1e-6;
        }

        void take(JobSpec s) {
            cpus -= s.cpus();
            cards -= s.cards();
            mem -= s.memGb();
            if (!images.contains(s.image())) {
                fetching.add(s.image());
            }
        }

        double fetchSeconds(JobSpec s) {
            if (images.contains(s.image())) {
                return 0;
            }
            double alone = s.imageGb() / Math.max(0.01, type.fetchGbPerS());
            return fetching.contains(s.image()) ? alone * 0.6 : alone * (1 + fetching.size());
        }
    }

    /** What the planner is told besides the ledger. */
    public record Limits(Predicate<MachineRecord> usable, Predicate<Job> held, Predicate<Placement> avoided,
            BooleanSupplier outOfTime) {
    }

    /** Seconds of fetching that it is worth to leave a large machine to those tasks that need one. */
    private static final double LARGER_THAN_NEEDED = 2;
    /** The same while such tasks are waiting. */
    private static final double LARGE_AND_AWAITED = 3;
    /** Likewise to let ordinary machines, which cost more, run empty and be returned. */
    private static final double ORDINARY = 0.3;
    /** Seconds of fetching that a second of running is worth on a machine that can't be taken back. */
    private static final double SPOT_RISK = 0.05;

    private static final Duration PRESSING_BEFORE = Duration.ofSeconds(7);
    private static final Duration PRESSING_AFTER = Duration.ofSeconds(20);
    /** Work of more than this is not stopped for other work. */
    private static final Duration MOST_LOST = Duration.ofSeconds(20);
    /** Time that a stopped task is taken to need until it starts again. */
    private static final Duration AGAIN = Duration.ofSeconds(25);

    private final Ledger ledger;
    private final Settings settings;
    private final boolean speedFirst;
    private Set<String> awaited = Set.of();
    /** Job at which the last round ran out of time; the next one goes on there. */
    private String resumeAt;

    public Planner(Ledger ledger, Settings settings, Operator operator) {
        this.ledger = ledger;
        this.settings = settings;
        this.speedFirst = operator.speedFirst(settings);
    }

    /**
     * Where money decides, ordinary machines are left to run empty. Where speed does, long tasks keep away from spot
     * machines: a run that is lost near its end has to be done again in full.
     */
    private double kindPenalty(JobSpec s, MachineRecord m) {
        if (speedFirst) {
            return m.spot() && s.checkpoint().isZero() ? s.guess().toMillis() / 1e3 * SPOT_RISK : 0;
        }
        return m.spot() ? 0 : ORDINARY;
    }

    /** Jobs with work left, the one to be served first at the front. */
    public List<Job> order(Instant now) {
        Map<String, double[]> within = new HashMap<>();
        List<Job> open = new ArrayList<>();
        for (Job j : ledger.jobs()) {
            if (!j.cancelled()) {
                open.add(j);
            }
        }
        open.sort(Comparator.comparing(Job::submitted).thenComparing(Job::id));
        Set<String> guaranteed = new HashSet<>();
        for (Job j : open) {
            Settings.Team team = settings.teams().get(j.spec().team());
            double[] used = within.computeIfAbsent(j.spec().team(), t -> new double[2]);
            used[0] += j.spec().cpus() * (j.spec().tasks() - j.doneCount());
            used[1] += j.spec().cards() * (j.spec().tasks() - j.doneCount());
            if (team != null && team.cpus() > 0 && used[0] <= team.cpus() + 1e-6 && used[1] <= team.cards() + 1e-6) {
                guaranteed.add(j.id());
            }
        }
        Map<String, Instant> latest = new HashMap<>();
        open.forEach(j -> latest.put(j.id(), latestStart(j, now)));
        open.removeIf(j -> j.pendingCount() == 0);
        open.sort(Comparator.comparing((Job j) -> !guaranteed.contains(j.id()))
                .thenComparing(j -> j.spec().priority())
                .thenComparing(j -> latest.get(j.id()))
                .thenComparing(Job::id));
        return open;
    }

    /** When a task of the job must start so that the aim of its class is met. */
    private Instant latestStart(Job j, Instant now) {
        Duration run = Ledger.median(j, false);
        Instant latest = null;
        if (j.due() != null) {
            latest = j.due().minus(run == null ? j.spec().guess() : run);
        }
        for (Settings.Objective o : settings.objectives()) {
            if (o.lineup().equals(j.spec().lineup()) && o.within() != null && o.kind().equals("wait")) {
                Instant at = j.submitted().plus(o.within());
                latest = latest == null || at.isBefore(latest) ? at : latest;
            }
        }
        return latest == null ? j.submitted().plus(Duration.ofSeconds(120)) : latest;
    }

    private double largePenalty(MachineType type, double smallest) {
        if (type.cpus() <= smallest) {
            return 0;
        }
        return awaited.contains(type.name()) ? LARGE_AND_AWAITED : LARGER_THAN_NEEDED;
    }

    /** Types that waiting tasks can't do without. */
    private Set<String> awaited(List<Job> waiting) {
        Set<String> out = new HashSet<>();
        for (Job j : waiting) {
            List<MachineType> fit = ledger.types().values().stream().filter(t -> (j.spec().types() == null
                    || j.spec().types().contains(t.name())) && j.spec().fits(t)).toList();
            if (fit.size() == 1) {
                out.add(fit.get(0).name());
            }
        }
        return out;
    }

    /** Room on the machines that take tasks. */
    Map<String, Room> rooms(Predicate<MachineRecord> usable) {
        Map<String, Room> rooms = new LinkedHashMap<>();
        List<MachineRecord> sorted = new ArrayList<>(ledger.machines());
        sorted.sort(Comparator.comparing(MachineRecord::name));
        for (MachineRecord m : sorted) {
            MachineType type = ledger.types().get(m.type());
            if (type == null || m.condition() != MachineRecord.Condition.UP || !usable.test(m)) {
                continue;
            }
            Room room = new Room(m, type);
            for (Claim c : ledger.claimsOn(m.name()).values()) {
                Job j = ledger.job(c.task().job());
                if (j != null) {
                    room.take(j.spec());
                    room.claims.add(c);
                }
            }
            rooms.put(m.name(), room);
        }
        return rooms;
    }

    /** Assigns pending tasks in order, until the room or the round's time is used up. */
    public Plan plan(Instant now, Limits limits, Map<String, Room> rooms) {
        Plan out = new Plan(new ArrayList<>(), new ArrayList<>());
        if (rooms.isEmpty()) {
            return out;
        }
        Object2ObjectOpenHashMap<String, double[]> used = new Object2ObjectOpenHashMap<>();
        List<Job> order = order(now);
        awaited = awaited(order);
        int from = 0;
        if (resumeAt != null) {
            for (int i = 0; i < order.size(); i++) {
                if (order.get(i).id().equals(resumeAt)) {
                    from = i;
                }
            }
            resumeAt = null;
        }
        for (int k = 0; k < order.size(); k++) {
            Job job = order.get((from + k) % order.size());
            if (k > 0 && limits.outOfTime().getAsBoolean()) {
                resumeAt = job.id();
                break;
            }
            if (!limits.held().test(job)) {
                place(job, now, limits, rooms, used, out);
            }
        }
        return out;
    }

    private void place(Job job, Instant now, Limits limits, Map<String, Room> rooms, Map<String, double[]> used, Plan out) {
        JobSpec s = job.spec();
        Settings.Team team = settings.teams().get(s.team());
        double[] u = null;
        if (team != null && team.limited()) {
            u = used.computeIfAbsent(s.team(), ledger::usage);
        }
        int quota = Integer.MAX_VALUE;
        if (job.errors() >= 3) {
            // A job that fails everywhere keeps one task going, so that it does not eat the fleet.
            quota = Math.max(0, 1 - job.claimCount());
        }
        Map<String, Integer> zones = new HashMap<>();
        if (s.together() || s.apart()) {
            for (Claim c : job.claims()) {
                MachineRecord m = ledger.machine(c.machine());
                zones.merge(m == null ? "?" : m.zone(), 1, Integer::sum);
            }
        }
        double smallest = ledger.types().values().stream().filter(s::fits).mapToDouble(MachineType::cpus).min().orElse(0);
        boolean pressing = pressing(job, now);
        String onlyZone = null;
        if (s.together()) {
            onlyZone = zones.isEmpty() ? bestZone(s, rooms, job.pendingCount()) : zones.keySet().iterator().next();
        }
        for (int i = 0; i < job.chunkCount() && quota > 0; i++) {
            Chunk chunk = job.chunk(i);
            if (chunk.pendingCount() == 0) {
                continue;
            }
            for (TaskId task : chunk.pending()) {
                if (u != null && (team.cpusMax() > 0 && u[0] + s.cpus() > team.cpusMax() + 1e-6
                        || team.cardsMax() > 0 && u[1] + s.cards() > team.cardsMax() + 1e-6)) {
                    return;
                }
                Room best = null;
                double bestScore = Double.MAX_VALUE;
                boolean anyFits = false;
                for (Room room : rooms.values()) {
                    MachineRecord m = room.machine;
                    if (!room.fits(s) || !s.allows(room.type, m.zone(), m.spot())
                            || onlyZone != null && !onlyZone.equals(m.zone())) {
                        continue;
                    }
                    if (s.apart() && zones.getOrDefault(m.zone(), 0) + zones.getOrDefault("?", 0) >= s.zoneCap()) {
                        continue;
                    }
                    anyFits = true;
                    if (m.name().equals(chunk.lateOn(task.index())) || limits.avoided().test(new Placement(task, m.name()))) {
                        continue;
                    }
                    double score = room.fetchSeconds(s) + (room.cpus - s.cpus()) / room.type.cpus()
                            + largePenalty(room.type, smallest) + kindPenalty(s, m);
                    if (score < bestScore) {
                        bestScore = score;
                        best = room;
                    }
                }
                if (best == null) {
                    if (!anyFits && (!pressing || !preempt(job, now, rooms, onlyZone, out))) {
                        return;
                    }
                    continue;
                }
                best.take(s);
                if (u != null) {
                    u[0] += s.cpus();
                    u[1] += s.cards();
                }
                zones.merge(best.machine.zone(), 1, Integer::sum);
                out.placements().add(new Placement(task, best.machine.name()));
                if (--quota == 0) {
                    return;
                }
            }
        }
    }

    /** Whether a job of high priority is about to miss the start that its class aims at. */
    private boolean pressing(Job job, Instant now) {
        if (job.spec().priority().compareTo(JobSpec.Priority.NORMAL) >= 0) {
            return false;
        }
        Instant latest = latestStart(job, now);
        return now.isAfter(latest.minus(PRESSING_BEFORE)) && now.isBefore(latest.plus(PRESSING_AFTER));
    }

    /**
     * Finds work of lower priority to stop: as little as possible of what has been done is lost, and only what can still
     * be in time afterwards is taken. The order does not depend on who looks, and until the stop is confirmed the same
     * claims are found again; so controllers and rounds do not stop more and more for the same need.
     */
    private boolean preempt(Job job, Instant now, Map<String, Room> rooms, String onlyZone, Plan out) {
        JobSpec s = job.spec();
        Room best = null;
        List<Claim> bestVictims = null;
        long bestLoss = Long.MAX_VALUE;
        for (Room room : rooms.values()) {
            MachineRecord m = room.machine;
            if (!s.allows(room.type, m.zone(), m.spot()) || onlyZone != null && !onlyZone.equals(m.zone())) {
                continue;
            }
            List<Claim> young = new ArrayList<>(room.claims);
            young.removeIf(c -> !spare(c, s.priority(), now));
            young.sort(Comparator.comparing(Claim::at).reversed().thenComparing(Claim::task));
            List<Claim> victims = new ArrayList<>();
            double cpus = room.cpus;
            double cards = room.cards;
            double mem = room.mem;
            long loss = 0;
            for (Claim c : young) {
                if (s.cpus() <= cpus + 1e-6 && s.cards() <= cards + 1e-6 && s.memGb() <= mem + 1e-6) {
                    break;
                }
                JobSpec v = ledger.job(c.task().job()).spec();
                cpus += v.cpus();
                cards += v.cards();
                mem += v.memGb();
                loss += (long) (v.cpus() * Duration.between(c.at(), now).toMillis());
                victims.add(c);
            }
            if (s.cpus() <= cpus + 1e-6 && s.cards() <= cards + 1e-6 && s.memGb() <= mem + 1e-6 && loss < bestLoss) {
                best = room;
                bestVictims = victims;
                bestLoss = loss;
            }
        }
        if (best == null) {
            return false;
        }
        for (Claim c : bestVictims) {
            JobSpec v = ledger.job(c.task().job()).spec();
            best.cpus += v.cpus();
            best.cards += v.cards();
            best.mem += v.memGb();
            best.claims.remove(c);
            out.preempted().add(c);
        }
        best.take(s);
        return true;
    }

    private boolean spare(Claim c, JobSpec.Priority than, Instant now) {
        Job j = ledger.job(c.task().job());
        if (j == null || j.cancelled() || j.spec().priority().compareTo(than) <= 0
                || Duration.between(c.at(), now).compareTo(MOST_LOST) > 0) {
            return false;
        }
        return j.due() == null || now.plus(AGAIN).isBefore(latestStart(j, now));
    }

    /** The zone in which most tasks of a job that must stay together find room. */
    private static String bestZone(JobSpec s, Map<String, Room> rooms, int pending) {
        Map<String, Integer> fit = new HashMap<>();
        for (Room r : rooms.values()) {
            if (s.allows(r.type, r.machine.zone(), r.machine.spot()) && r.fits(s)) {
                int n = (int) Math.min(pending, r.cpus / s.cpus() + 1e-6);
                fit.merge(r.machine.zone(), n, Integer::sum);
            }
        }
        return fit.entrySet().stream().max(Map.Entry.<String, Integer>comparingByValue()
                .thenComparing(Map.Entry.comparingByKey())).map(Map.Entry::getKey).orElse("");
    }
}
