package org.havenford.coordination;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.havenford.bookkeeping.Chunk;
import org.havenford.bookkeeping.Claim;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.MachineRecord;
import org.havenford.bookkeeping.Quota.Amount;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.Settings;
import org.havenford.protocol.TaskId;

/**
 * Decides what should run where, from a snapshot. Every controller plans for the whole fleet and claims only on the
 * machines it owns; since all see the same store, their plans mostly agree, and a guarded claim settles the rest. The
 * tasks of one chunk go to machines of one owner at a time, as owners that fill one key only get in each other's way.
 */
public final class Planner {
    /** A task and the machine that is to run it. */
    public record Placement(TaskId task, String machine) {}

    /** What to claim, and which claims to give up so that more urgent work can start. */
    public record Plan(List<Placement> placements, List<Claim> preempted) {}

    /**
     * What the planner is told besides the ledger: how machines are, tasks that have ended without a release, claims under
     * way by machine, owners that have left a chunk lying, chunks that others than their first owner may take, and
     * whether claims get into each other's way so much that each chunk is left to its first owner where that has room.
     */
    public record Limits(
            Predicate<MachineRecord> usable,
            Function<MachineRecord, List<String>> images,
            Function<MachineRecord, MachineRecord.Condition> condition,
            Predicate<Job> held,
            Predicate<Placement> avoided,
            Predicate<Claim> ended,
            Function<String, List<JobSpec>> underWay,
            List<String> owners,
            BiPredicate<String, String> passedOver,
            Predicate<String> helped,
            boolean crowded,
            BooleanSupplier outOfTime) {}

    /** A room that takes tasks of the job at hand, and what the next task costs there. */
    private record Offer(double score, FreeCapacity room) {}

    /** Seconds of fetching that it is worth to leave a large machine to those tasks that need one. */
    private static final double LARGER_THAN_NEEDED = 2;
    /** The same while such tasks are waiting. */
    private static final double LARGE_AND_AWAITED = 3;
    /** Part of a run from which on a fetch counts as long. */
    private static final double LONG_FETCH = 0.3;
    /** Likewise to let ordinary machines, which cost more, run empty and be returned. */
    private static final double ORDINARY = 0.3;
    /** Seconds of fetching that a second of running is worth on a machine that can't be taken back. */
    private static final double SPOT_RISK = 0.05;

    /** Seconds of fetching for which a chunk's tasks are left to the owner that comes first for them. */
    private static final double CHANGE_OF_OWNER = 0.8;
    /** The same for a task that finds no room there. */
    private static final double NO_ROOM = 30;

    /** How long a job with time to spare leaves a large machine that others need, even if it is idle, to them. */
    private static final Duration PATIENCE_FOR_SMALLER = Duration.ofSeconds(60);

    private static final Duration PRESSING_BEFORE = Duration.ofSeconds(7);
    private static final Duration PRESSING_AFTER = Duration.ofSeconds(20);
    /** Work of more than this is not stopped for other work. */
    private static final Duration MOST_LOST = Duration.ofSeconds(20);
    /** Time that a stopped task is taken to need until it starts again. */
    private static final Duration AGAIN = Duration.ofSeconds(25);

    private final Ledger ledger;
    private final Settings settings;
    private final boolean speedFirst;
    private final UnaryOperator<String> owner;
    private Set<String> awaited = Set.of();
    private final JobOrder order;
    /** What is left on the machines that take tasks, kept from round to round; those named in {@code stale} are worked out anew. */
    private final TreeMap<String, FreeCapacity> rooms = new TreeMap<>();

    private final Set<String> stale = new HashSet<>();
    private boolean allStale = true;
    /** Job at which the last round ran out of time; the next one goes on there. */
    private String resumeAt;

    /** A planner over a replica; {@code owner} names the controller that owns a machine. */
    public Planner(Ledger ledger, Settings settings, Operator operator, UnaryOperator<String> owner) {
        this.ledger = ledger;
        this.owner = owner;
        this.settings = settings;
        this.speedFirst = operator.speedFirst(settings);
        this.order = new JobOrder(ledger, settings);
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

    private JobSpec.Priority priority(Job job) {
        return order.priority(job);
    }

    private Instant due(Job job) {
        return order.due(job);
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
            List<MachineType> fit = ledger.types().values().stream()
                    .filter(t -> (j.spec().types() == null || j.spec().types().contains(t.name()))
                            && j.spec().fits(t))
                    .toList();
            if (fit.size() == 1) {
                out.add(fit.get(0).name());
            }
        }
        return out;
    }

    /** The machine, its claims or what is known of their ends have changed. */
    public void changed(String machine) {
        stale.add(machine);
    }

    /** All machines have to be looked at anew. */
    public void allChanged() {
        allStale = true;
    }

    private void refresh(Limits limits) {
        if (allStale) {
            allStale = false;
            rooms.clear();
            for (MachineRecord m : ledger.machines()) {
                stale.add(m.name());
            }
        }
        for (String name : stale) {
            FreeCapacity room = room(name, limits);
            if (room == null) {
                rooms.remove(name);
            } else {
                rooms.put(name, room);
            }
        }
        stale.clear();
    }

    private FreeCapacity room(String name, Limits limits) {
        MachineRecord m = ledger.machine(name);
        MachineType type = m == null ? null : ledger.types().get(m.type());
        if (type == null || limits.condition().apply(m) != MachineRecord.Condition.UP) {
            return null;
        }
        FreeCapacity room = new FreeCapacity(m, type, limits.images().apply(m));
        for (Claim c : ledger.claimsOn(name).values()) {
            Job j = ledger.job(c.task().job());
            // A task known to have ended leaves its room at once; its release is written with others, a moment later.
            if (j != null && !limits.ended().test(c)) {
                room.take(j.spec());
                room.claims.add(c);
            }
        }
        limits.underWay().apply(name).forEach(room::take);
        return room;
    }

    /** Assigns pending tasks in order, until the room or the round's time is used up. */
    public Plan plan(Instant now, Limits limits) {
        Plan out = new Plan(new ArrayList<>(), new ArrayList<>());
        refresh(limits);
        if (rooms.isEmpty()) {
            return out;
        }
        List<Job> jobs = order.order(now);
        awaited = awaited(jobs);
        int from = 0;
        if (resumeAt != null) {
            for (int i = 0; i < jobs.size(); i++) {
                if (jobs.get(i).id().equals(resumeAt)) {
                    from = i;
                }
            }
            resumeAt = null;
        }
        List<FreeCapacity> open = new ArrayList<>();
        for (FreeCapacity r : rooms.values()) {
            if (r.cpus > 1e-6 && limits.usable().test(r.machine)) {
                r.awaitedBy = null;
                open.add(r);
            }
        }
        Round round = new Round(now, limits, open, out);
        boolean kept = false;
        for (int k = 0; k < jobs.size(); k++) {
            Job job = jobs.get((from + k) % jobs.size());
            if (k > 0 && limits.outOfTime().getAsBoolean()) {
                resumeAt = job.id();
                return out;
            }
            if (limits.held().test(job)) {
                continue;
            }
            boolean sparing = sparing(job);
            if (sparing && !kept) {
                // Jobs whose images take long keep the machines that have them, as far as they need them for their
                // deadlines.
                kept = true;
                for (Job j : jobs) {
                    if (sparing(j) && !limits.held().test(j)) {
                        place(j, round, true, needed(j, now) - j.claimCount());
                    }
                }
            }
            place(
                    job,
                    round,
                    false,
                    sparing ? needed(job, now) - job.claimCount() - round.placed(job) : Integer.MAX_VALUE);
        }
        if (kept) {
            // What nobody else has taken.
            for (Job j : jobs) {
                if (sparing(j) && !limits.held().test(j) && !limits.outOfTime().getAsBoolean()) {
                    place(j, round, true, Integer.MAX_VALUE);
                }
            }
        }
        return out;
    }

    /** For jobs to which it does not matter where their other tasks are; never added to. */
    private static final TaskZones ANYWHERE = new TaskZones();

    /** What is decided in one round, and what it is decided on. */
    private static final class Round {
        private final Instant now;
        private final Limits limits;
        private final List<FreeCapacity> open;
        private final Plan out;
        private final Map<String, Amount> used = new HashMap<>();
        private final Map<String, String> ownerOf = new HashMap<>();
        private final Map<String, Set<TaskId>> taken = new HashMap<>();
        /** Of jobs that stay together or apart: their claims, and what any pass of this round has placed. */
        private final Map<String, TaskZones> zones = new HashMap<>();

        private final Map<JobSpec.Priority, List<Stoppable>> stoppable = new EnumMap<>(JobSpec.Priority.class);

        Round(Instant now, Limits limits, List<FreeCapacity> open, Plan out) {
            this.now = now;
            this.limits = limits;
            this.open = open;
            this.out = out;
        }

        /**
         * Where a job's tasks are. A job may be placed in several passes of a round, all of which go into one claim: counted
         * from the claims alone, a later pass would place what the passes together must not. apart-in-one-round.trace
         */
        TaskZones zonesOf(Job job, Ledger ledger) {
            return PlacementRules.dependOnOthers(job.spec())
                    ? zones.computeIfAbsent(job.id(), id -> TaskZones.ofClaims(job, ledger))
                    : ANYWHERE;
        }

        int placed(Job job) {
            return taken.getOrDefault(job.id(), Set.of()).size();
        }
    }

    private double fetchAlone(JobSpec s) {
        double rate = ledger.types().values().stream()
                .filter(s::fits)
                .mapToDouble(MachineType::fetchGbPerS)
                .max()
                .orElse(1);
        return s.imageGb() / Math.max(0.01, rate);
    }

    /** A job with time to spare, whose image takes long against a run: it is cheaper on few machines that have it. */
    private boolean sparing(Job j) {
        return due(j) != null
                && priority(j).compareTo(JobSpec.Priority.NORMAL) >= 0
                && fetchAlone(j.spec()) >= LONG_FETCH * JobOrder.runSeconds(j);
    }

    /** Tasks that must run side by side for the job to be in time; of one that can't be, a third. */
    private int needed(Job j, Instant now) {
        double run = JobOrder.runSeconds(j) * 1.15;
        double time =
                Duration.between(now, due(j)).toMillis() / 1e3 - fetchAlone(j.spec()) * (j.claimCount() == 0 ? 1 : 0);
        double turns = time < run ? 3 : Math.floor(time / run);
        return (int) Math.ceil((j.spec().tasks() - j.doneCount()) / turns);
    }

    /** {@code cap} is how many tasks may be added; with {@code warm}, only where the image is or is on its way. */
    private void place(Job job, Round round, boolean warm, int cap) {
        JobSpec s = job.spec();
        Settings.Team team = settings.teams().get(s.team());
        Amount one = new Amount(s.cpus(), s.cards());
        int quota = Math.min(cap, job.pendingCount() - round.placed(job));
        if (team != null && team.limited()) {
            quota = Math.min(quota, fitting(team, round.used.computeIfAbsent(s.team(), ledger::usage), one));
        }
        if (job.errors() >= 3) {
            // A job that fails everywhere keeps one task going, so that it does not eat the fleet.
            quota = Math.min(quota, Math.max(0, 1 - job.claimCount() - round.placed(job)));
        }
        if (quota <= 0) {
            return;
        }
        TaskZones zones = round.zonesOf(job, ledger);
        String onlyZone = s.together() && zones.isEmpty() ? bestZone(s, round.open, job.pendingCount()) : null;
        Map<String, List<Offer>> offers = offers(job, round, zones, onlyZone, warm);
        Set<TaskId> taken = round.taken.computeIfAbsent(job.id(), k -> new HashSet<>());
        int before = taken.size();
        int unplaced = offers.isEmpty() ? quota : 0;
        for (int i = 0; i < job.chunkCount() && quota > 0 && !offers.isEmpty(); i++) {
            Chunk chunk = job.chunk(i);
            if (chunk.pendingCount() == 0) {
                continue;
            }
            String key = Keys.tasks(job.id(), i);
            List<TaskId> pending = chunk.pending();
            pending.removeAll(taken);
            if (pending.isEmpty()) {
                continue;
            }
            int placed = 0;
            String chosen = round.ownerOf.get(key);
            if (chosen == null) {
                chosen = owner(key, i, s, offers, Math.min(quota, pending.size()), round.limits);
            }
            if (chosen != null && offers.containsKey(chosen)) {
                round.ownerOf.put(key, chosen);
                placed = fill(chunk, pending, quota, s, offers.get(chosen), zones, round);
                quota -= placed;
            }
            unplaced += Math.min(quota, pending.size() - placed);
        }
        if (unplaced > 0 && !warm && !hold(s, priority(job), offers, zones, unplaced) && pressing(job, round.now)) {
            preempt(s, priority(job), unplaced, zones, onlyZone, round);
        }
        if (team != null && team.limited()) {
            round.used.merge(s.team(), one.times(taken.size() - before), Amount::plus);
        }
    }

    /**
     * Rooms of owners that a chunk is not given to this time wait for its tasks all the same: lower work that took them
     * would only be stopped again. Whether there are any.
     */
    private static boolean hold(
            JobSpec s, JobSpec.Priority priority, Map<String, List<Offer>> offers, TaskZones zones, int tasks) {
        int left = tasks;
        boolean any = false;
        for (List<Offer> l : offers.values()) {
            for (Offer o : l) {
                if (left > 0
                        && o.room().fits(s)
                        && PlacementRules.zone(s, o.room().machine.zone(), zones)
                                .allowed()) {
                    any = true;
                    left -= o.room().slots(s);
                    o.room().awaitedBy = priority;
                }
            }
        }
        return any;
    }

    private static int fitting(Settings.Team team, Amount used, Amount one) {
        double n = Integer.MAX_VALUE;
        if (team.cpusMax() > 0 && one.cpus() > 0) {
            n = Math.min(n, (team.cpusMax() - used.cpus()) / one.cpus() + 1e-6);
        }
        if (team.cardsMax() > 0 && one.cards() > 0) {
            n = Math.min(n, (team.cardsMax() - used.cards()) / one.cards() + 1e-6);
        }
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, Math.floor(n)));
    }

    /** What each owner's machines offer to tasks of a job, the best first. */
    private Map<String, List<Offer>> offers(Job job, Round round, TaskZones zones, String onlyZone, boolean warm) {
        JobSpec s = job.spec();
        double smallest = ledger.types().values().stream()
                .filter(s::fits)
                .mapToDouble(MachineType::cpus)
                .min()
                .orElse(0);
        // A large machine that others wait for is not taken while there is time to wait for a small one.
        boolean mayTakeLarge =
                !round.now.isBefore(order.latestStart(job, round.now).minus(PRESSING_BEFORE))
                        || !round.now.isBefore(job.released().plus(PATIENCE_FOR_SMALLER));
        Map<String, List<Offer>> offers = new TreeMap<>();
        for (FreeCapacity room : round.open) {
            MachineRecord m = room.machine;
            if (!room.fits(s)
                    || !PlacementRules.task(s, room.type, m.zone(), m.spot(), zones)
                            .allowed()
                    || onlyZone != null && !onlyZone.equals(m.zone())
                    || room.awaitedBy != null && room.awaitedBy.compareTo(priority(job)) < 0
                    || warm && !room.images.contains(s.image()) && !room.fetching.contains(s.image())
                    || !mayTakeLarge && room.type.cpus() > smallest && awaited.contains(room.type.name())) {
                continue;
            }
            double score = room.fetchSeconds(s)
                    + (room.cpus - s.cpus()) / room.type.cpus()
                    + largePenalty(room.type, smallest)
                    + kindPenalty(s, m);
            offers.computeIfAbsent(owner.apply(m.name()), o -> new ArrayList<>())
                    .add(new Offer(score, room));
        }
        for (List<Offer> l : offers.values()) {
            l.sort(Comparator.comparingDouble(Offer::score)
                    .thenComparing(o -> o.room().machine.name()));
        }
        return offers;
    }

    /**
     * The owner whose machines take the tasks of a chunk. Each chunk has one to begin with, found by its place in the
     * job; another is chosen only when it offers clearly more, so that controllers whose copies of the store differ by a
     * moment still agree.
     */
    private String owner(String key, int index, JobSpec s, Map<String, List<Offer>> offers, int tasks, Limits limits) {
        List<String> owners = limits.owners();
        String best = null;
        double least = Double.MAX_VALUE;
        int first = (s.id().hashCode() & 0xffff) + index;
        for (int i = 0; i < owners.size(); i++) {
            String o = owners.get((first + i) % owners.size());
            List<Offer> offered = offers.getOrDefault(o, List.of());
            if (offered.isEmpty() || limits.passedOver().test(key, o)) {
                continue;
            }
            if (limits.crowded()) {
                return i == 0 || limits.helped().test(key) ? o : null;
            }
            double cost = cost(s, offered, tasks) + (i == 0 ? 0 : CHANGE_OF_OWNER * tasks);
            if (cost < least) {
                least = cost;
                best = o;
            }
        }
        return best;
    }

    private static double cost(JobSpec s, List<Offer> offers, int tasks) {
        double cost = 0;
        int left = tasks;
        for (Offer o : offers) {
            if (left <= 0) {
                break;
            }
            int n = Math.min(left, o.room().slots(s));
            cost += n * o.score();
            left -= n;
        }
        return cost + left * NO_ROOM;
    }

    private int fill(
            Chunk chunk, List<TaskId> pending, int most, JobSpec s, List<Offer> offers, TaskZones zones, Round round) {
        int placed = 0;
        for (TaskId task : pending) {
            if (placed >= most) {
                break;
            }
            for (Offer o : offers) {
                FreeCapacity room = o.room();
                String zone = room.machine.zone();
                if (!room.fits(s)
                        || !PlacementRules.zone(s, zone, zones).allowed()
                        || room.machine.name().equals(chunk.lateOn(task.index()))
                        || round.limits.avoided().test(new Placement(task, room.machine.name()))) {
                    continue;
                }
                room.take(s);
                stale.add(room.machine.name());
                if (PlacementRules.dependOnOthers(s)) {
                    zones.add(zone);
                }
                round.out.placements().add(new Placement(task, room.machine.name()));
                round.taken.get(s.id()).add(task);
                placed++;
                break;
            }
            offers.removeIf(o -> !o.room().fits(s));
            if (offers.isEmpty()) {
                break;
            }
        }
        return placed;
    }

    /** Whether a job of high priority is about to miss the start that its class aims at. */
    private boolean pressing(Job job, Instant now) {
        if (priority(job).compareTo(JobSpec.Priority.NORMAL) >= 0) {
            return false;
        }
        Instant latest = order.latestStart(job, now);
        return now.isAfter(latest.minus(PRESSING_BEFORE)) && now.isBefore(latest.plus(PRESSING_AFTER));
    }

    /** Claims on one machine that make room for a task, and what is lost with them. */
    private record Victims(FreeCapacity room, List<Claim> claims, long loss) {}

    /**
     * Finds work of lower priority to stop: as little as possible of what has been done is lost, and only what can still
     * be in time afterwards is taken. The order does not depend on who looks, and until the stop is confirmed the same
     * claims are found again; so controllers and rounds do not stop more and more for the same need.
     */
    private void preempt(
            JobSpec s, JobSpec.Priority priority, int tasks, TaskZones zones, String onlyZone, Round round) {
        List<Victims> found = new ArrayList<>();
        for (Stoppable r : round.stoppable.computeIfAbsent(priority, p -> stoppable(p, round))) {
            MachineRecord m = r.room.machine;
            boolean allowed = PlacementRules.task(s, r.room.type, m.zone(), m.spot(), zones)
                    .allowed();
            if (allowed && (onlyZone == null || onlyZone.equals(m.zone()))) {
                Victims v = victims(r, s, round.now);
                if (v != null) {
                    found.add(v);
                }
            }
        }
        found.sort(Comparator.comparingLong(Victims::loss)
                .thenComparing(v -> v.room().machine.name()));
        int made = 0;
        TaskZones withMade = zones.copy();
        for (Victims v : found) {
            if (made >= tasks) {
                return;
            }
            String zone = v.room().machine.zone();
            if (!PlacementRules.zone(s, zone, withMade).allowed()) {
                continue;
            }
            for (Claim c : v.claims()) {
                v.room().give(ledger.job(c.task().job()).spec());
                v.room().claims.remove(c);
                round.out.preempted().add(c);
            }
            stale.add(v.room().machine.name());
            while (made < tasks
                    && v.room().fits(s)
                    && PlacementRules.zone(s, zone, withMade).allowed()) {
                v.room().take(s);
                withMade.add(zone);
                made++;
            }
        }
    }

    /** A room and the claims in it that work of some priority may stop, the youngest first. */
    private record Stoppable(FreeCapacity room, List<Claim> claims) {}

    /** Looked for once a round: there may be dozens of jobs that press, and thousands of claims. */
    private List<Stoppable> stoppable(JobSpec.Priority than, Round round) {
        List<Stoppable> out = new ArrayList<>();
        for (FreeCapacity room : rooms.values()) {
            List<Claim> young = null;
            for (Claim c : room.claims) {
                if (spare(c, than, round.now)) {
                    young = young == null ? new ArrayList<>(4) : young;
                    young.add(c);
                }
            }
            if (young != null && round.limits.usable().test(room.machine)) {
                young.sort(Comparator.comparing(Claim::at).reversed().thenComparing(Claim::task));
                out.add(new Stoppable(room, young));
            }
        }
        return out;
    }

    private Victims victims(Stoppable in, JobSpec s, Instant now) {
        List<Claim> victims = new ArrayList<>(4);
        FreeCapacity room = in.room();
        double cpus = room.cpus;
        double cards = room.cards;
        double mem = room.mem;
        long loss = 0;
        for (Claim c : in.claims()) {
            if (s.cpus() <= cpus + 1e-6 && s.cards() <= cards + 1e-6 && s.memGb() <= mem + 1e-6) {
                break;
            }
            if (!room.claims.contains(c)) {
                // Stopped already for a job before this one.
                continue;
            }
            JobSpec v = ledger.job(c.task().job()).spec();
            cpus += v.cpus();
            cards += v.cards();
            mem += v.memGb();
            loss += (long) (v.cpus() * Duration.between(c.at(), now).toMillis());
            victims.add(c);
        }
        boolean enough = s.cpus() <= cpus + 1e-6 && s.cards() <= cards + 1e-6 && s.memGb() <= mem + 1e-6;
        return enough && !victims.isEmpty() ? new Victims(room, victims, loss) : null;
    }

    private boolean spare(Claim c, JobSpec.Priority than, Instant now) {
        if (c.at().plus(MOST_LOST).isBefore(now)) {
            return false;
        }
        Job j = ledger.job(c.task().job());
        if (j == null || j.cancelled() || priority(j).compareTo(than) <= 0) {
            return false;
        }
        Instant due = due(j);
        return due == null
                || now.plus(AGAIN)
                        .plusMillis((long) (JobOrder.runSeconds(j) * 1000))
                        .isBefore(due);
    }

    /** The zone in which most tasks of a job that must stay together find room. */
    private static String bestZone(JobSpec s, List<FreeCapacity> open, int pending) {
        Map<String, Integer> fit = new HashMap<>();
        for (FreeCapacity r : open) {
            boolean allowed = PlacementRules.machine(s, r.type, r.machine.zone(), r.machine.spot())
                    .allowed();
            if (allowed && r.fits(s)) {
                int n = (int) Math.min(pending, r.cpus / s.cpus() + 1e-6);
                fit.merge(r.machine.zone(), n, Integer::sum);
            }
        }
        return fit.entrySet().stream()
                .max(Map.Entry.<String, Integer>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElse("");
    }
}
