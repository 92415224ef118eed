package org.havenford.coordination.agents;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.havenford.coordination.membership.Membership;
import org.havenford.protocol.Command;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.TaskId;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/**
 * The machines that this controller owns. The wanted state of a machine is the set of its claims in the store; what is
 * comes from the worker's newest report; the difference goes out as commands, and ended attempts go to the releaser.
 */
public final class AgentManager {
    private static final Duration SWEEP = Duration.ofMillis(500);
    /** How long a machine without a record is remembered after it was last heard. */
    private static final Duration REMEMBERED = Duration.ofMinutes(3);
    /** What the worker's steady clock and ours may differ by, as a part of the lease. */
    private static final double LEASE_DRIFT = 1.002;

    private static final Duration LEASE_MARGIN = Duration.ofMillis(1500);

    /** What to answer a report. */
    public record HeartbeatResponse(int status, String body) {}

    private final EventLoop loop;
    private final PlatformSettings settings;
    private final ClusterState clusterState;
    private final StoreReplica replica;
    private final Membership membership;
    private final Runnable wake;
    private final Object2ObjectOpenHashMap<String, AgentState> machines = new Object2ObjectOpenHashMap<>();
    /** Machines to be looked at in the next round; the sweep looks at all. */
    private final Set<String> changed = new LinkedHashSet<>();

    private final MachineFaultDetector faultDetector;
    private final AttemptOutcomes outcomes;
    private final MachineHealthMonitor healthMonitor;
    private final HeartbeatReconciler heartbeatReconciler;
    private final AgentCommands agentCommands;
    private final TaskStopper taskStopper;
    private final RedirectedAgents redirectedAgents;
    private final MachineStatusPublisher statusPublisher;
    private final MachineAdoption adoption;
    private final ReachabilityProbe reachabilityProbe;
    private Instant nextSweep = Instant.MIN;
    private ClusterView previousView = ClusterView.empty();
    private boolean sawAView;

    /** A fleet that knows no machines yet; {@code capacityChanged} is told of machines that take more or less than before. */
    public AgentManager(
            EventLoop loop,
            HttpCalls calls,
            PlatformSettings settings,
            OperatorSettings operatorSettings,
            ClusterState clusterState,
            StoreReplica replica,
            StoreClient store,
            Membership membership,
            Consumer<String> capacityChanged,
            Runnable wake) {
        this.loop = loop;
        this.settings = settings;
        this.clusterState = clusterState;
        this.replica = replica;
        this.membership = membership;
        this.wake = wake;
        outcomes = new AttemptOutcomes(clusterState, capacityChanged);
        faultDetector = new MachineFaultDetector(clusterState);
        healthMonitor = new MachineHealthMonitor(settings, faultDetector, capacityChanged);
        ImageCacheTracker imageCache = new ImageCacheTracker(clusterState, capacityChanged);
        heartbeatReconciler =
                new HeartbeatReconciler(loop, clusterState, outcomes, imageCache, faultDetector, healthMonitor.fresh());
        agentCommands = new AgentCommands(loop, calls, settings, clusterState, membership, outcomes, this::answered);
        taskStopper = new TaskStopper(clusterState, operatorSettings);
        statusPublisher = new MachineStatusPublisher(loop, settings, clusterState, replica, store);
        adoption = new MachineAdoption(loop, clusterState, replica, store, membership, settings.node());
        redirectedAgents = new RedirectedAgents(membership, settings.workerLease());
        reachabilityProbe = new ReachabilityProbe(calls, clusterState, membership, settings.node());
    }

    /** What is known of the workers of the machines that this controller owns. */
    public List<AgentContact> contacts() {
        List<AgentContact> notes = new ArrayList<>(machines.size());
        for (AgentState machine : machines.values()) {
            Heartbeat heartbeat = machine.heartbeat;
            if (heartbeat != null) {
                notes.add(new AgentContact(
                        machine.name,
                        heartbeat.endpoint(),
                        heartbeat.incarnation(),
                        heartbeat.incarnation() == machine.checkinIncarnation ? machine.checkinSequence : 0,
                        Math.max(heartbeat.fencingToken(), machine.fencingToken())));
            }
        }
        return notes;
    }

    /**
     * Takes over what the former owner knew of a worker, and asks the worker itself. A report that is no newer than what the
     * former owner had is a late copy, also for an owner that has not heard the worker yet.
     */
    public void contact(AgentContact contact) {
        if (!membership.mayAnswerAgents() || !isOwned(contact.machine())) {
            return;
        }
        AgentState machine = owned(contact.machine());
        if (machine.heartbeat != null) {
            return;
        }
        machine.checkinIncarnation = contact.incarnation();
        machine.checkinSequence = contact.checkinSequence();
        agentCommands.contact(machine, contact);
    }

    private boolean isOwned(String machine) {
        return settings.node().equals(membership.owner(machine));
    }

    /** How many of the machines on record a node owns. */
    public int ownedBy(String node) {
        int owned = 0;
        for (MachineRecord machine : clusterState.machines()) {
            if (node.equals(membership.owner(machine.name()))) {
                owned++;
            }
        }
        return owned;
    }

    /** The record, the claims or what is wanted of them on a machine have changed. */
    public void machineChanged(String machine) {
        changed.add(machine);
    }

    /** What this controller knows of a machine that it owns, or null. */
    public AgentState agent(String machine) {
        return machines.get(machine);
    }

    private boolean holds(Claim claim) {
        Job job = clusterState.job(claim.task().job());
        return job != null && claim.equals(job.claim(claim.task().index()));
    }

    /** Attempts that ended and whose claims are still in the store. */
    public AttemptOutcomes outcomes() {
        return outcomes;
    }

    // ---- ownership

    /** After each change of the view: forgets machines that went elsewhere, takes up those that came. */
    public void viewChanged() {
        ClusterView view = membership.view();
        reachabilityProbe.viewChanged(previousView.cordoned().contains(settings.node()));
        for (String name : List.copyOf(machines.keySet())) {
            AgentState machine = machines.get(name);
            // It was ours in the view before, or it would not be here.
            boolean keeps = isOwned(name)
                    && view.members()
                            .get(settings.node())
                            .equals(previousView.members().get(settings.node()));
            if (!isOwned(name)) {
                machines.remove(name);
                reachabilityProbe.lost(machine);
            } else if (!keeps) {
                machines.put(name, takeOver(name));
            } else {
                machine.epoch = view.epoch();
                machine.fence = 0;
                machine.startedByDirectCommand = false;
            }
        }
        outcomes.keepOnly(claim -> holds(claim) && isOwned(claim.machine()));
        // Machines that are new to us: made with the view before this one still at hand.
        takeOverOwned();
        previousView = view;
        sawAView = true;
        nextSweep = Instant.MIN;
    }

    private void takeOverOwned() {
        for (MachineRecord machine : clusterState.machines()) {
            if (isOwned(machine.name())) {
                owned(machine.name());
            }
        }
        for (String name : clusterState.claimedMachines()) {
            if (isOwned(name)) {
                owned(name);
            }
        }
    }

    /**
     * Until when may someone else have renewed the worker's lease? An owner that left the view had lost its own lease
     * before; one that is still a member, or that we know nothing of, may not have seen the new view for as long as its
     * entitlement can last.
     */
    private AgentState takeOver(String name) {
        String before = previousView.owner(name);
        Long incarnation = before == null ? null : previousView.members().get(before);
        // An evicted owner may hold itself entitled until its lease ends by its own clock.
        // stalled-owner-is-evicted.trace
        boolean gone = sawAView
                && before != null
                && !membership.isMember(before, incarnation)
                && !membership.view().wasEvicted(before, incarnation);
        Instant renewed = gone ? loop.now() : loop.now().plus(membership.leaseDuration());
        AgentState machine = new AgentState(name, renewed);
        machine.epoch = membership.view().epoch();
        MachineRecord onRecord = clusterState.machine(name);
        if (onRecord != null && onRecord.condition() == Condition.SILENT) {
            // Its worker may be one that hears nobody: a report alone does not show the contrary.
            machine.unanswered = MachineHealthMonitor.MOST_UNANSWERED;
        }
        return machine;
    }

    private AgentState owned(String name) {
        return machines.computeIfAbsent(name, n -> takeOver((String) n));
    }

    // ---- reports

    /** Answers a worker's report. */
    public HeartbeatResponse handleHeartbeat(Heartbeat heartbeat) {
        if (!membership.mayAnswerAgents() || !replica.loaded()) {
            return new HeartbeatResponse(503, "{\"error\":\"not entitled\"}");
        }
        if (!isOwned(heartbeat.machine())) {
            redirectedAgents.reported(heartbeat.machine(), loop.now());
            return new HeartbeatResponse(421, "{\"director\":\"" + membership.owner(heartbeat.machine()) + "\"}");
        }
        redirectedAgents.arrived(heartbeat.machine());
        AgentState machine = owned(heartbeat.machine());
        if (isLateCopy(machine, heartbeat)) {
            return new HeartbeatResponse(503, "{\"error\":\"a later report has been here\"}");
        }
        machine.checkinIncarnation = heartbeat.incarnation();
        machine.checkinSequence = heartbeat.sequence();
        machine.lastHeartbeatAt = loop.now();
        List<Command> answer = List.of();
        // A report that says nothing new needs no round: of a thousand machines some hundred say so each second.
        boolean news = false;
        if (heartbeat.newerThan(machine.heartbeat)) {
            news = isNews(machine, heartbeat);
            countAnswered(machine, heartbeat);
            take(machine, heartbeat, true);
            answer = agentCommands.forAnswer(machine);
            news |= !answer.isEmpty();
        }
        machine.leaseRenewedAt = later(machine.leaseRenewedAt, loop.now());
        if (news) {
            wake.run();
        }
        return new HeartbeatResponse(200, Command.reply(machine.fencingToken(), answer));
    }

    /**
     * A copy that comes late. Its worker waits for no answer; counted as a renewal, it would put off the moment at which a
     * machine that is gone gives its tasks back. An answer to /do may well have overtaken a report that is still waited for:
     * so only reports are compared.
     */
    private static boolean isLateCopy(AgentState machine, Heartbeat heartbeat) {
        return heartbeat.incarnation() < machine.checkinIncarnation
                || (heartbeat.incarnation() == machine.checkinIncarnation
                        && heartbeat.sequence() <= machine.checkinSequence);
    }

    private static boolean isNews(AgentState machine, Heartbeat heartbeat) {
        return machine.heartbeat == null
                || machine.condition != Condition.UP
                || heartbeat.incarnation() != machine.heartbeat.incarnation()
                || !heartbeat.tasks().equals(machine.heartbeat.tasks());
    }

    /**
     * A worker that gets our answer stays here. One that reports elsewhere before each report here, or whose lease runs
     * out although we answer, does not get it: its machine takes no new work until it does.
     */
    private void countAnswered(AgentState machine, Heartbeat heartbeat) {
        Heartbeat before = machine.heartbeat;
        if (before != null) {
            boolean elsewhere = heartbeat.incarnation() > before.incarnation()
                    || heartbeat.sequence() > before.sequence() + 1 + machine.directAnswers;
            // A worker that got no answer while this process stood still has asked others meanwhile.
            boolean counts = elsewhere && !machine.silentSincePause;
            machine.unanswered = counts ? machine.unanswered + 1 : 0;
        }
        machine.directAnswers = 0;
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    private void take(AgentState machine, Heartbeat heartbeat, boolean fromCheckin) {
        changed.add(machine.name);
        heartbeatReconciler.read(machine, heartbeat, fromCheckin);
        MachineRecord onRecord = clusterState.machine(machine.name);
        if (onRecord == null) {
            adoption.reported(machine, heartbeat);
        } else {
            healthMonitor.judge(machine, onRecord, loop.now());
        }
    }

    /** A job is over. */
    public void jobEnded(Job last) {
        faultDetector.jobEnded(last);
    }

    /** Whether workers should report here: this controller owns machines that are on record as up. */
    public boolean expectsHeartbeats() {
        return membership.mayAnswerAgents()
                && machines.values().stream().anyMatch(machine -> machine.condition == Condition.UP);
    }

    // ---- after a pause

    /** This process has stood still for a while, and heard no worker meanwhile. */
    public void processPaused(Duration pause) {
        machines.values().forEach(machine -> machine.processPaused(pause));
        redirectedAgents.processPaused();
        nextSweep = loop.now().plus(SWEEP);
    }

    // ---- commands

    /** Sends what differs to the worker itself, without waiting for its next report. */
    public void sendCommands(String machine) {
        AgentState state = machines.get(machine);
        if (state != null) {
            agentCommands.push(state);
        }
    }

    /** The reply to a direct command; one to a machine that has gone to another owner says nothing any more. */
    private void answered(AgentState machine, HttpCalls.Reply reply) {
        if (machines.get(machine.name) != machine) {
            return;
        }
        Heartbeat heartbeat = agentCommands.reportIn(machine, reply);
        if (heartbeat != null && heartbeat.machine().equals(machine.name) && heartbeat.newerThan(machine.heartbeat)) {
            take(machine, heartbeat, false);
        }
        wake.run();
    }

    /** Sends what differs to the machines where something has changed. */
    public void sendChangedCommands() {
        if (!membership.mayAnswerAgents()) {
            return;
        }
        List<String> due = List.copyOf(changed);
        changed.clear();
        due.forEach(this::sendCommands);
    }

    /** Marks a claim on one of our machines to be stopped for more urgent work. */
    public void preempt(Claim claim) {
        AgentState machine = isOwned(claim.machine()) ? machines.get(claim.machine()) : null;
        if (machine != null && taskStopper.preempt(machine, claim)) {
            changed.add(claim.machine());
        }
    }

    /** How many tasks were stopped for lateness. */
    public long stragglerStops() {
        return taskStopper.stragglerStops();
    }

    // ---- time passing

    /** One turn of the loop over the owned machines: lease ends, lateness, records. */
    public void step() {
        if (!replica.loaded() || !membership.mayAnswerAgents()) {
            return;
        }
        Instant now = loop.now();
        reachabilityProbe.step(now);
        if (now.isBefore(nextSweep)) {
            return;
        }
        nextSweep = now.plus(SWEEP);
        takeOverOwned();
        endLeases(now);
        for (AgentState machine : machines.values()) {
            MachineRecord onRecord = clusterState.machine(machine.name);
            if (onRecord != null) {
                taskStopper.stopStragglers(machine, now);
                taskStopper.drain(machine, now);
                healthMonitor.judge(machine, onRecord, now);
                if (mayNeedCommands(machine)) {
                    changed.add(machine.name);
                }
            }
        }
        statusPublisher.publish(machines.values(), now);
        machines.values().removeIf(machine -> isForgotten(machine, now));
        outcomes.keepOnly(this::holds);
        faultDetector.keepOnly(machines.keySet());
        redirectedAgents.forgetOld(now);
    }

    /** A machine without tasks and claims needs no commands: of thousands most may be idle. */
    private boolean mayNeedCommands(AgentState machine) {
        boolean hasTasks =
                machine.heartbeat != null && !machine.heartbeat.tasks().isEmpty();
        return hasTasks || !clusterState.claimsOn(machine.name).isEmpty();
    }

    private void endLeases(Instant now) {
        for (String name : clusterState.claimedMachines()) {
            if (isOwned(name)) {
                // The worker's lease has run out on any clock, or the cloud has confirmed that the machine is gone.
                boolean leaseOver = now.isAfter(leaseEnd(owned(name)));
                boolean returned = clusterState.machine(name) == null;
                if (leaseOver || returned) {
                    clusterState.claimsOn(name).values().forEach(claim -> outcomes.end(claim, AttemptOutcome.RETRY));
                }
            }
        }
    }

    private Instant leaseEnd(AgentState machine) {
        return machine.leaseRenewedAt
                .plusNanos((long) (settings.workerLease().toNanos() * LEASE_DRIFT))
                .plus(LEASE_MARGIN);
    }

    /** Machines that went back to the cloud long ago. */
    private boolean isForgotten(AgentState machine, Instant now) {
        Instant lastSign = machine.lastSignAt.equals(Instant.MIN)
                ? machine.leaseRenewedAt
                : later(machine.leaseRenewedAt, machine.lastSignAt);
        return clusterState.machine(machine.name) == null
                && clusterState.claimsOn(machine.name).isEmpty()
                && Duration.between(lastSign, now).compareTo(REMEMBERED) > 0;
    }

    /**
     * Tells at any time whether a machine can be given new tasks; of others' machines their owners know. It holds until the
     * view or the machine's condition changes, so that a thousand machines need not be looked up in each round.
     */
    public Predicate<Instant> availability(MachineRecord machine) {
        AgentState state = machines.get(machine.name());
        if (state != null) {
            return now -> healthMonitor.usable(state, now);
        }
        boolean known = !isOwned(machine.name());
        return now -> known;
    }

    /** Whether a task should not be tried again on a machine. */
    public boolean avoided(TaskId task, String machine) {
        AgentState state = machines.get(machine);
        return state != null && state.avoidedTasks.contains(task);
    }

    /** The condition of a machine: of our own we know it before it is on record. */
    public Condition condition(MachineRecord machine) {
        boolean goes = machine.condition().compareTo(Condition.RETIRING) >= 0;
        AgentState state = goes || !isOwned(machine.name()) ? null : machines.get(machine.name());
        return state == null ? machine.condition() : state.condition;
    }

    /** What a machine has cached: of our own machines we know more than is on record. */
    public List<String> images(MachineRecord machine) {
        AgentState state = machines.get(machine.name());
        return state == null || state.images == null ? machine.images() : state.images;
    }
}
