package org.havenford.coordination;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.havenford.bookkeeping.Claim;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.MachineRecord;
import org.havenford.bookkeeping.MachineRecord.Condition;
import org.havenford.bookkeeping.Replica;
import org.havenford.bookkeeping.StateStore;
import org.havenford.coordination.MachineState.Attempt;
import org.havenford.coordination.MachineState.StopReason;
import org.havenford.protocol.Command;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.Report;
import org.havenford.protocol.Settings;
import org.havenford.protocol.TaskId;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machines that this controller owns. The wanted state of a machine is the set of its claims in the store; what is
 * comes from the worker's newest report; the difference goes out as commands, and ended attempts go to the releaser.
 */
public final class Fleet {
    private static final Logger LOG = LoggerFactory.getLogger(Fleet.class);
    private static final int MAX_COMMANDS = 200;
    private static final int MAX_DIRECT = 40;
    private static final Duration SWEEP = Duration.ofMillis(500);
    private static final Duration SEARCHING = Duration.ofSeconds(10);
    private static final int MOST_UNANSWERED = 2;
    private static final Duration LEASE_MARGIN = Duration.ofMillis(1500);

    /** How an attempt ended. Seconds are negative where they were not seen. */
    public record Ending(boolean done, boolean late, boolean failed, double fetchSeconds, double runSeconds) {
        static final Ending RETRY = new Ending(false, false, false, -1, -1);
        static final Ending LATE = new Ending(false, true, false, -1, -1);
        static final Ending FAILED = new Ending(false, false, true, -1, -1);
    }

    private final EventLoop loop;
    private final HttpCalls calls;
    private final Settings settings;
    private final Operator operator;
    private final Ledger ledger;
    private final Replica replica;
    private final StateStore store;
    private final Membership membership;
    private final Runnable wake;
    private final Object2ObjectOpenHashMap<String, MachineState> machines = new Object2ObjectOpenHashMap<>();
    /** By claim, not by task: an end must never be taken for that of a later attempt. */
    private final Map<Claim, Ending> endings = new LinkedHashMap<>();

    private final MisdirectedWorkers misdirected;

    private final Object2ObjectOpenHashMap<String, Double> imageGb = new Object2ObjectOpenHashMap<>();
    /** Machines to be looked at in the next round; the sweep looks at all. */
    private final Set<String> changed = new LinkedHashSet<>();

    private final MachineStatusPublisher statusPublisher;
    private final MachineAdoption adoption;
    private final RestingProbe restingProbe;

    private final Consumer<String> endsChanged;
    /** Ages of a report, worked out once: they are compared for each machine in each round. */
    private final Duration fresh;

    private final Duration reachable;
    private final Duration silent;
    private Instant nextSweep = Instant.MIN;
    private View previousView = View.empty();
    private boolean sawAView;
    private long lateFired;

    /** A fleet that knows no machines yet. */
    public Fleet(
            EventLoop loop,
            HttpCalls calls,
            Settings settings,
            Operator operator,
            Ledger ledger,
            Replica replica,
            StateStore store,
            Membership membership,
            Consumer<String> endsChanged,
            Runnable wake) {
        this.endsChanged = endsChanged;
        this.fresh = settings.report().multipliedBy(2);
        this.reachable = settings.report().multipliedBy(3);
        this.silent = settings.report().multipliedBy(5).dividedBy(2);
        this.loop = loop;
        this.calls = calls;
        this.settings = settings;
        this.operator = operator;
        this.ledger = ledger;
        this.replica = replica;
        this.store = store;
        this.membership = membership;
        this.wake = wake;
        this.statusPublisher = new MachineStatusPublisher(loop, settings, ledger, replica, store);
        this.adoption = new MachineAdoption(loop, ledger, replica, store, membership, settings.node());
        this.misdirected = new MisdirectedWorkers(membership, settings.workerLease());
        this.restingProbe = new RestingProbe(calls, ledger, membership, settings.node());
    }

    private boolean mine(String machine) {
        return settings.node().equals(membership.owner(machine));
    }

    /** How many of the machines on record a node owns. */
    public int ownedBy(String node) {
        int n = 0;
        for (MachineRecord r : ledger.machines()) {
            if (node.equals(membership.owner(r.name()))) {
                n++;
            }
        }
        return n;
    }

    /** The record, the claims or what is wanted of them on a machine have changed. */
    public void machineChanged(String machine) {
        changed.add(machine);
    }

    /** What this controller knows of a machine that it owns, or null. */
    public MachineState state(String machine) {
        return machines.get(machine);
    }

    private boolean holds(Claim c) {
        Job j = ledger.job(c.task().job());
        return j != null && c.equals(j.claim(c.task().index()));
    }

    /** Attempts that ended and whose claims are still in the store. */
    public Map<Claim, Ending> endings() {
        return endings;
    }

    // ---- ownership

    /** After each change of the view: forgets machines that went elsewhere, takes up those that came. */
    public void viewChanged() {
        View view = membership.view();
        restingProbe.viewChanged(previousView.resting().contains(settings.node()));
        for (String name : List.copyOf(machines.keySet())) {
            MachineState m = machines.get(name);
            // It was ours in the view before, or it would not be here.
            boolean keeps = mine(name)
                    && view.members()
                            .get(settings.node())
                            .equals(previousView.members().get(settings.node()));
            if (!mine(name)) {
                machines.remove(name);
                restingProbe.lost(m);
            } else if (!keeps) {
                machines.put(name, takeOver(name));
            } else {
                m.epoch = view.epoch();
                m.fence = 0;
                m.ranDirectly = false;
            }
        }
        endings.keySet().removeIf(c -> !holds(c) || !mine(c.machine()));
        // Machines that are new to us: made with the view before this one still at hand.
        for (MachineRecord r : ledger.machines()) {
            if (mine(r.name()) && !machines.containsKey(r.name())) {
                machines.put(r.name(), takeOver(r.name()));
            }
        }
        for (String name : ledger.claimedMachines()) {
            if (mine(name) && !machines.containsKey(name)) {
                machines.put(name, takeOver(name));
            }
        }
        previousView = view;
        sawAView = true;
        nextSweep = Instant.MIN;
    }

    private MachineState takeOver(String name) {
        // Until when may someone else have renewed the worker's lease? An owner that left the view had lost its own
        // lease before; one that is still a member, or that we know nothing of, may not have seen the new view for as
        // long as its entitlement can last.
        String before = previousView.owner(name);
        Long incarnation = before == null ? null : previousView.members().get(before);
        boolean gone = sawAView && before != null && !membership.isMember(before, incarnation);
        MachineState m = new MachineState(name, gone ? loop.now() : loop.now().plus(membership.life()));
        m.epoch = membership.view().epoch();
        MachineRecord r = ledger.machine(name);
        if (r != null && r.condition() == Condition.SILENT) {
            // Its worker may be one that hears nobody: a report alone does not show the contrary.
            m.unanswered = MOST_UNANSWERED;
        }
        return m;
    }

    private MachineState owned(String name) {
        return machines.computeIfAbsent(name, n -> takeOver((String) n));
    }

    // ---- reports

    /** What to answer a report: null for 503, a node's name for 421, or the body of a 200. */
    public record Answer(int status, String body) {}

    /** Answers a worker's report. */
    public Answer checkin(Report r) {
        if (!membership.entitled() || !replica.loaded()) {
            return new Answer(503, "{\"error\":\"not entitled\"}");
        }
        if (!mine(r.machine())) {
            misdirected.reported(r.machine(), loop.now());
            return new Answer(421, "{\"director\":\"" + membership.owner(r.machine()) + "\"}");
        }
        misdirected.arrived(r.machine());
        MachineState m = owned(r.machine());
        if (r.session() < m.checkinSession || r.session() == m.checkinSession && r.seq() <= m.checkinSeq) {
            // A copy that comes late. Its worker waits for no answer; counted as a renewal, it would put off the moment
            // at which a machine that is gone gives its tasks back. An answer to /do may well have overtaken a report
            // that is still waited for: so only reports are compared.
            return new Answer(503, "{\"error\":\"a later report has been here\"}");
        }
        m.checkinSession = r.session();
        m.checkinSeq = r.seq();
        m.reported = loop.now();
        List<Command> commands = List.of();
        // A report that says nothing new needs no round: of a thousand machines some hundred say so each second.
        boolean news = false;
        if (r.newerThan(m.report)) {
            news = m.report == null
                    || m.condition != Condition.UP
                    || r.session() != m.report.session()
                    || !r.tasks().equals(m.report.tasks());
            countAnswered(m, r);
            take(m, r, true);
            commands = commands(m, MAX_COMMANDS);
            news |= !commands.isEmpty();
        }
        m.renewed = later(m.renewed, loop.now());
        String body = Command.reply(m.token(), commands);
        note(m, commands, false);
        if (news) {
            wake.run();
        }
        return new Answer(200, body);
    }

    /**
     * A worker that gets our answer stays here. One that reports elsewhere before each report here, or whose lease runs
     * out although we answer, does not get it: its machine takes no new work until it does.
     */
    private void countAnswered(MachineState m, Report r) {
        Report before = m.report;
        if (before != null) {
            boolean elsewhere = r.session() > before.session() || r.seq() > before.seq() + 1 + m.directAnswers;
            m.unanswered = elsewhere ? m.unanswered + 1 : 0;
        }
        m.directAnswers = 0;
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    private void take(MachineState m, Report r, boolean fromCheckin) {
        Report before = m.report;
        m.report = r;
        m.heard = loop.now();
        if (r.noticeS() != null && m.noticeUntil == null) {
            m.noticeUntil = loop.now().plusMillis((long) (r.noticeS() * 1000));
        }
        if (before != null && r.session() > before.session()) {
            m.attempts.clear();
        }
        changed.add(m.name);
        MachineRecord record = ledger.machine(r.machine());
        for (Claim c : List.copyOf(ledger.claimsOn(m.name).values())) {
            if (c.session() < r.session()) {
                // A later session: the worker has killed and forgotten everything from before.
                end(c, Ending.RETRY);
            } else if (c.session() == r.session()) {
                Report.Entry e = r.find(c.task(), c.attempt());
                Attempt a = m.attempt(c.task(), c.attempt());
                if (e == null) {
                    absent(m, c, a, r, fromCheckin);
                } else {
                    present(m, c, a, e);
                }
            }
        }
        if (record == null) {
            adoption.reported(m, r);
        } else {
            judge(m, record, loop.now());
        }
    }

    private void absent(MachineState m, Claim c, Attempt a, Report r, boolean fromCheckin) {
        boolean unwanted = a.stop != null || cancelled(c);
        if (!a.seen && !unwanted) {
            return;
        }
        // Absence in a report proves something only if no run can arrive any more: answers to reports can't be late
        // beyond the next report, and a run by /do is ruled out once the worker has seen a higher token.
        if (fromCheckin && r.token() >= m.epoch << 32 && r.token() > a.directToken) {
            end(c, a.stop == StopReason.LATE ? Ending.LATE : Ending.RETRY);
        } else if (a.directToken >= m.token()) {
            m.fence++;
            m.ranDirectly = false;
        }
    }

    private boolean cancelled(Claim c) {
        Job j = ledger.job(c.task().job());
        return j == null || j.cancelled();
    }

    private void present(MachineState m, Claim c, Attempt a, Report.Entry e) {
        Instant now = loop.now();
        boolean first = !a.seen;
        a.seen = true;
        switch (e.state()) {
            case FETCHING -> {
                if (a.fetchFrom == null) {
                    a.fetchFrom = first && a.sawFetchStart ? a.fetchFrom : startOf(c);
                    a.sawFetchStart = true;
                }
            }
            case RUNNING -> {
                if (a.runFrom == null) {
                    a.runFrom = now;
                    a.sawRunStart = a.sawFetchStart
                            || Duration.between(c.at(), loop.timeOfDay()).compareTo(fresh) < 0;
                    if (a.sawRunStart) {
                        a.fetchSeconds = a.fetchFrom == null
                                ? 0
                                : Duration.between(a.fetchFrom, now).toMillis() / 1e3;
                    }
                }
                cached(m, c);
            }
            case EXITED -> exited(m, c, a, e.why());
            default -> {
                // A task that is saving still holds its resources.
            }
        }
    }

    /** The claim's age by the time of day, as a steady instant. */
    private Instant startOf(Claim c) {
        Duration age = Duration.between(c.at(), loop.timeOfDay());
        return loop.now().minus(age.isNegative() ? Duration.ZERO : age);
    }

    private void exited(MachineState m, Claim c, Attempt a, String why) {
        switch (why) {
            case "done" -> {
                cached(m, c);
                double run = a.sawRunStart && a.runFrom != null
                        ? Duration.between(a.runFrom, loop.now()).toMillis() / 1e3
                        : -1;
                m.failedJobs.clear();
                end(c, new Ending(true, false, false, a.fetchSeconds, run));
            }
            case "stopped" -> end(c, a.stop == StopReason.LATE ? Ending.LATE : Ending.RETRY);
            case "error" -> {
                LOG.info("{} failed on {}", c.task(), m.name);
                m.avoid.add(c.task());
                m.failedJobs.add(c.task().job());
                end(c, Ending.FAILED);
            }
            case "no_room", "busy" -> {
                LOG.info("{} refused by {}: {}", c.task(), m.name, why);
                m.refusedUntil = loop.now().plusSeconds(4);
                end(c, Ending.RETRY);
            }
            default -> {
                LOG.info("{} refused by {}: {}", c.task(), m.name, why);
                end(c, Ending.FAILED);
            }
        }
    }

    private void end(Claim c, Ending ending) {
        if (endings.putIfAbsent(c, ending) == null) {
            endsChanged.accept(c.machine());
            LOG.debug("{} attempt {} on {} ended: {}", c.task(), c.attempt(), c.machine(), ending);
        }
    }

    // ---- commands

    private List<Command> commands(MachineState m, int most) {
        List<Command> out = new ArrayList<>();
        Report r = m.report;
        if (r == null || ledger.machine(m.name) == null) {
            return out;
        }
        Map<TaskId, Claim> claims = ledger.claimsOn(m.name);
        for (Report.Entry e : r.tasks()) {
            Claim c = claims.get(e.task());
            boolean held = c != null && c.attempt() == e.attempt() && c.session() == r.session();
            if (e.state() == Report.State.EXITED) {
                if (!held) {
                    // Whoever forgets can be made to start again by a run that is still under way: the token that
                    // comes with a forget is higher than that of any run sent by /do.
                    if (m.ranDirectly) {
                        m.fence++;
                        m.ranDirectly = false;
                    }
                    out.add(new Command(Command.Op.FORGET, e.task(), e.attempt(), Duration.ZERO));
                }
            } else if (!held) {
                out.add(new Command(Command.Op.STOP, e.task(), e.attempt(), Duration.ZERO));
            } else {
                Attempt a = m.attempt(c.task(), c.attempt());
                if (cancelled(c)) {
                    a.stop = StopReason.CANCELLED;
                }
                if (a.stop != null) {
                    Job j = ledger.job(c.task().job());
                    Duration save = j == null || a.stop == StopReason.CANCELLED
                            ? Duration.ZERO
                            : j.spec().save();
                    if (e.state() != Report.State.SAVING || a.stop == StopReason.CANCELLED) {
                        out.add(new Command(Command.Op.STOP, e.task(), e.attempt(), save));
                    }
                }
            }
            if (out.size() >= most) {
                return out;
            }
        }
        // What others cancelled in our blind seconds must not start: runs wait until our copy has caught up. gap.trace
        for (Claim c : membership.current() ? claims.values() : List.<Claim>of()) {
            Attempt a = m.attempt(c.task(), c.attempt());
            if (c.session() == r.session()
                    && !a.seen
                    && a.stop == null
                    && !cancelled(c)
                    && !endings.containsKey(c)
                    && r.find(c.task(), c.attempt()) == null
                    && out.size() < most) {
                out.add(new Command(Command.Op.RUN, c.task(), c.attempt(), Duration.ZERO));
            }
        }
        return out;
    }

    private void note(MachineState m, List<Command> commands, boolean direct) {
        for (Command c : commands) {
            if (c.op() == Command.Op.RUN) {
                Attempt a = m.attempt(c.task(), c.attempt());
                if (a.fetchFrom == null) {
                    a.fetchFrom = loop.now();
                    a.sawFetchStart = true;
                }
                if (direct) {
                    a.directToken = m.token();
                    m.ranDirectly = true;
                }
            }
        }
    }

    /** Sends what differs to the worker itself, without waiting for its next report. */
    public void push(MachineState m) {
        Instant now = loop.now();
        if (m.directInFlight
                || now.isBefore(m.directNotBefore)
                || m.report == null
                || !membership.entitled()
                || Duration.between(m.heard, now).compareTo(reachable) > 0) {
            return;
        }
        List<Command> commands = commands(m, MAX_DIRECT);
        commands.removeIf(c -> c.op() == Command.Op.FORGET);
        if (commands.isEmpty()) {
            return;
        }
        note(m, commands, true);
        m.directInFlight = true;
        String body = Command.direct(m.token(), m.report.session(), commands);
        long epoch = m.epoch;
        calls.call(m.report.endpoint(), "POST", "/do", body, Duration.ofSeconds(3), reply -> {
            m.directInFlight = false;
            if (machines.get(m.name) != m || m.epoch != epoch && !mine(m.name)) {
                return;
            }
            if (reply.status() == 200 || reply.status() == 409) {
                try {
                    Report r = Report.parse(Json.object(reply.body()));
                    m.directAnswers++;
                    if (r.machine().equals(m.name) && r.newerThan(m.report)) {
                        take(m, r, false);
                    }
                } catch (Json.BadMessage e) {
                    LOG.warn("{}: an answer to /do can't be read: {}", m.name, e.getMessage());
                }
                m.directNotBefore = reply.status() == 409
                        ? loop.now().plusMillis(500)
                        : loop.now().plusMillis(20);
            } else {
                // The worker's next report brings the same commands; here nothing is gained by hurry.
                m.directNotBefore = loop.now().plusSeconds(3);
            }
            wake.run();
        });
    }

    /** Sends what differs to the machines where something has changed. */
    public void pushChanged() {
        if (!membership.entitled()) {
            return;
        }
        List<String> due = List.copyOf(changed);
        changed.clear();
        for (String name : due) {
            MachineState m = machines.get(name);
            if (m != null) {
                push(m);
            }
        }
    }

    /** Marks a claim on one of our machines to be stopped for more urgent work. */
    public void preempt(Claim c) {
        MachineState m = mine(c.machine()) ? machines.get(c.machine()) : null;
        if (m == null || m.report == null || c.session() != m.report.session()) {
            return;
        }
        Attempt a = m.attempt(c.task(), c.attempt());
        if (a.seen && a.stop == null) {
            LOG.info("{} on {} is stopped for more urgent work", c.task(), c.machine());
            a.stop = StopReason.PREEMPTED;
            changed.add(c.machine());
        }
    }

    // ---- time passing

    /** One turn of the loop over the owned machines: lease ends, lateness, records. */
    public void step() {
        if (!replica.loaded() || !membership.entitled()) {
            return;
        }
        Instant now = loop.now();
        restingProbe.step(now);
        if (now.isBefore(nextSweep)) {
            return;
        }
        nextSweep = now.plus(SWEEP);
        for (MachineRecord r : ledger.machines()) {
            if (mine(r.name())) {
                owned(r.name());
            }
        }
        for (String name : ledger.claimedMachines()) {
            if (mine(name)) {
                MachineState m = owned(name);
                boolean leaseOver = now.isAfter(leaseEnd(m));
                boolean returned = ledger.machine(name) == null;
                if (leaseOver || returned) {
                    // The worker's lease has run out on any clock, or the cloud has confirmed that the machine is gone.
                    for (Claim c : ledger.claimsOn(name).values()) {
                        end(c, Ending.RETRY);
                    }
                }
            }
        }
        for (MachineState m : machines.values()) {
            MachineRecord r = ledger.machine(m.name);
            if (r != null) {
                checkLateness(m, now);
                drain(m, now);
                judge(m, r, now);
                changed.add(m.name);
            }
        }
        statusPublisher.publish(machines.values(), now);
        machines.values()
                .removeIf(m -> ledger.machine(m.name) == null
                        && ledger.claimsOn(m.name).isEmpty()
                        && Duration.between(later(m.renewed, m.heard.equals(Instant.MIN) ? m.renewed : m.heard), now)
                                        .toMinutes()
                                > 3);
        endings.keySet().removeIf(c -> !holds(c));
        misdirected.forgetOld(now);
    }

    private Instant leaseEnd(MachineState m) {
        return m.renewed
                .plusNanos((long) (settings.workerLease().toNanos() * 1.002))
                .plus(LEASE_MARGIN);
    }

    /** Whether a machine can be given new tasks. */
    public boolean usable(MachineRecord r, Instant now) {
        MachineState m = machines.get(r.name());
        if (m == null) {
            return !mine(r.name());
        }
        // Answers to /do renew no lease: what starts on a machine that only answers is killed with it.
        // mute-machine.trace
        return m.report != null
                && m.noticeUntil == null
                && !now.isBefore(m.refusedUntil)
                && now.isBefore(m.reported.plus(fresh));
    }

    /** Whether a task should not be tried again on a machine. */
    public boolean avoided(TaskId task, String machine) {
        MachineState m = machines.get(machine);
        return m != null && m.avoid.contains(task);
    }

    private void checkLateness(MachineState m, Instant now) {
        for (Claim c : ledger.claimsOn(m.name).values()) {
            Attempt a = m.attempts.get(c.task());
            Job j = ledger.job(c.task().job());
            // A running task goes on: what is late there is not restarted.
            if (a == null
                    || a.number != c.attempt()
                    || !a.seen
                    || a.runFrom != null
                    || a.fetchFrom == null
                    || a.stop != null
                    || j == null
                    || j.doneCount() < operator.lateMinimumDone()
                    || j.stored(j.chunkOf(c.task().index())).wasLate(c.task().index())) {
                continue;
            }
            Duration fetch = j.medianFetch();
            Duration run = j.medianRun();
            if (fetch == null || run == null) {
                continue;
            }
            Duration t = Lateness.estimateFetching(Duration.between(a.fetchFrom, now), fetch, run);
            double p = Lateness.coefficient(t, fetch.plus(run));
            if (p > operator.lateThreshold()) {
                lateFired++;
                LOG.info(
                        "late: {} on {} has fetched for {} (medians {} and {}), p = {}",
                        c.task(),
                        m.name,
                        Duration.between(a.fetchFrom, now),
                        fetch,
                        run,
                        p);
                a.stop = StopReason.LATE;
                changed.add(m.name);
            }
        }
    }

    /** On a machine that is about to be taken, stops what can't be done in time, so that it starts elsewhere sooner. */
    private void drain(MachineState m, Instant now) {
        if (m.noticeUntil == null) {
            return;
        }
        Duration left = Duration.between(now, m.noticeUntil);
        for (Claim c : ledger.claimsOn(m.name).values()) {
            Attempt a = m.attempts.get(c.task());
            Job j = ledger.job(c.task().job());
            if (a == null || a.number != c.attempt() || a.stop != null || j == null) {
                continue;
            }
            Duration run = j.medianRun();
            Duration whole = run == null ? j.spec().guess() : run;
            Duration elapsed = a.runFrom == null ? Duration.ZERO : Duration.between(a.runFrom, now);
            if (whole.minus(elapsed).toMillis() > left.toMillis() * 1.3) {
                a.stop = StopReason.DRAINED;
                changed.add(m.name);
            }
        }
    }

    /** How many tasks were restarted for lateness. */
    public long lateFired() {
        return lateFired;
    }

    /** How one of our machines is. */
    private void judge(MachineState m, MachineRecord r, Instant now) {
        Condition c = m.condition;
        boolean heardLately = m.report != null && now.isBefore(m.reported.plus(fresh));
        Instant lastSign = m.report == null ? m.renewed : m.reported;
        if (heardLately) {
            c = m.unanswered >= MOST_UNANSWERED
                    ? Condition.SILENT
                    : m.failedJobs.size() >= 2 || c == Condition.FAULTY || contradicts(m, r)
                            ? Condition.FAULTY
                            : m.noticeUntil != null ? Condition.DRAINING : Condition.UP;
        } else if (m.report == null && r.condition().compareTo(Condition.RETIRING) < 0) {
            // Not heard yet: what the owner before us said.
            c = r.condition();
        }
        if ((c == Condition.UP || c == Condition.DRAINING)
                && Duration.between(lastSign, now).compareTo(silence(m)) > 0) {
            c = Condition.SILENT;
        }
        if (c != m.condition) {
            m.condition = c;
            endsChanged.accept(m.name);
        }
    }

    /**
     * Whether a machine is not what its record says: then nobody knows what may run there, so it gets no more tasks and goes
     * back to the cloud. contradicting-record.trace
     */
    private static boolean contradicts(MachineState m, MachineRecord r) {
        Report report = m.report;
        boolean same = report.type().equals(r.type()) && report.zone().equals(r.zone()) && report.spot() == r.spot();
        if (!same && m.condition != Condition.FAULTY) {
            LOG.error(
                    "{} is on record as {}, zone {}, spot {}, and reports {}, zone {}, spot {}",
                    m.name,
                    r.type(),
                    r.zone(),
                    r.spot(),
                    report.type(),
                    report.zone(),
                    report.spot());
        }
        return !same;
    }

    /** The condition of a machine: of our own we know it before it is on record. */
    public Condition condition(MachineRecord r) {
        MachineState m =
                r.condition().compareTo(Condition.RETIRING) >= 0 || !mine(r.name()) ? null : machines.get(r.name());
        return m == null ? r.condition() : m.condition;
    }

    /**
     * After this a machine is on record as silent. A worker that has lost its controller tries others one after the other
     * for a while: no record is written for it meanwhile.
     */
    private Duration silence(MachineState m) {
        return m.report == null ? silent.plus(SEARCHING) : silent;
    }

    /** What a machine has cached: of our own machines we know more than is on record. */
    public List<String> images(MachineRecord r) {
        MachineState m = machines.get(r.name());
        return m == null || m.images == null ? r.images() : m.images;
    }

    /** The task's image is on the machine: it goes to the front, and what no longer fits the cache drops out. */
    private void cached(MachineState m, Claim c) {
        Job j = ledger.job(c.task().job());
        MachineRecord r = ledger.machine(m.name);
        if (j == null || r == null) {
            return;
        }
        String image = j.spec().image();
        imageGb.put(image, (Double) j.spec().imageGb());
        if (m.images == null) {
            m.images = r.images();
        }
        if (!m.images.isEmpty() && m.images.get(0).equals(image)) {
            return;
        }
        List<String> all = new ArrayList<>(m.images);
        all.remove(image);
        all.add(0, image);
        MachineType type = ledger.types().get(r.type());
        double room = type == null ? 0 : type.cacheGb();
        List<String> kept = new ArrayList<>();
        for (String i : all) {
            room -= imageGb.getOrDefault(i, (Double) 5.0);
            if (room >= 0 && kept.size() < 20) {
                kept.add(i);
            }
        }
        m.images = kept;
        endsChanged.accept(m.name);
    }
}
