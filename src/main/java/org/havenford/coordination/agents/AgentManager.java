package org.havenford.coordination.agents;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Predicate;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.TaskId;
import org.havenford.settings.OperatorSettings;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.havenford.transport.HttpCalls;

/**
 * Manages the agents of the machines that this controller owns. The desired state of a machine is the set of its claims in
 * the store; its actual state comes from the agent's newest heartbeat. The difference goes out as commands, and the outcomes
 * of ended attempts are kept until they are stored.
 */
public final class AgentManager {
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    private final AgentContext context;
    private final AgentRegistry registry;
    private final ChangedMachines changedMachines = new ChangedMachines();
    private final AttemptOutcomes outcomes;
    private final MachineFaultDetector faultDetector;
    private final MachineHealthMonitor healthMonitor;
    private final HeartbeatHandler heartbeatHandler;
    private final DirectCommandSender commandSender;
    private final AgentLeaseMonitor leaseMonitor;
    private final TaskStopper taskStopper;
    private final RedirectedAgents redirectedAgents;
    private final MachineStatusPublisher statusPublisher;
    private final ReachabilityProbe reachabilityProbe;
    /** When the next sweep is due; null for at once. */
    private Instant nextSweep;

    /** A manager that knows no agents yet; {@code listener} is told what concerns the scheduler. */
    public AgentManager(
            AgentContext context, HttpCalls calls, OperatorSettings operatorSettings, AgentListener listener) {
        this.context = context;
        registry = new AgentRegistry(context);
        outcomes = new AttemptOutcomes(context.clusterState(), listener);
        faultDetector = new MachineFaultDetector(context.clusterState());
        healthMonitor = new MachineHealthMonitor(context.settings(), faultDetector, listener);
        ImageCacheTracker imageCache = new ImageCacheTracker(context.clusterState(), listener);
        HeartbeatReconciler reconciler =
                new HeartbeatReconciler(context, outcomes, imageCache, faultDetector, healthMonitor.fresh());
        HeartbeatIntake intake =
                new HeartbeatIntake(context, changedMachines, reconciler, new MachineAdoption(context), healthMonitor);
        CommandPlanner commandPlanner = new CommandPlanner(context, outcomes);
        redirectedAgents =
                new RedirectedAgents(context.membership(), context.settings().agentLease());
        heartbeatHandler = new HeartbeatHandler(context, registry, redirectedAgents, intake, commandPlanner, listener);
        commandSender = new DirectCommandSender(context, calls, registry, commandPlanner, intake, listener);
        leaseMonitor = new AgentLeaseMonitor(context, registry, outcomes);
        taskStopper = new TaskStopper(context.clusterState(), operatorSettings);
        statusPublisher = new MachineStatusPublisher(context);
        reachabilityProbe = new ReachabilityProbe(context, calls);
    }

    // ---- ownership

    /** After each change of the view: forgets agents whose machines went elsewhere, takes over those that came. */
    public void viewChanged() {
        reachabilityProbe.viewChanged(registry.wasCordoned());
        registry.viewChanged().forEach(reachabilityProbe::lost);
        outcomes.keepOnly(claim -> isHeld(claim) && context.owns(claim.machine()));
        nextSweep = null;
    }

    /** What is known of the agents of the machines that this controller owns. */
    public List<AgentContact> contacts() {
        return registry.contacts();
    }

    /**
     * Takes over what the former owner knew of an agent, and calls the agent. A heartbeat that is no newer than what the
     * former owner had is a late copy, also for an owner that has not heard the agent yet.
     */
    public void contact(AgentContact contact) {
        if (!context.membership().mayAnswerAgents() || !context.owns(contact.machine())) {
            return;
        }
        AgentState agent = registry.getOrTakeOver(contact.machine());
        if (agent.hasReported()) {
            return;
        }
        agent.takeOver(contact);
        commandSender.introduce(agent, contact);
    }

    /** How many of the machines on record a node owns. */
    public int ownedBy(String node) {
        int owned = 0;
        for (MachineRecord machine : context.clusterState().machines()) {
            if (node.equals(context.membership().owner(machine.name()))) {
                owned++;
            }
        }
        return owned;
    }

    // ---- heartbeats

    /** Takes a heartbeat and says what to answer. */
    public HeartbeatResponse handleHeartbeat(Heartbeat heartbeat) {
        return heartbeatHandler.handle(heartbeat);
    }

    /** Whether agents should report here: this controller owns machines that are on record as up. */
    public boolean expectsHeartbeats() {
        return context.membership().mayAnswerAgents()
                && registry.all().stream().anyMatch(agent -> agent.condition() == Condition.UP);
    }

    /** This process was paused, and heard no agent meanwhile. */
    public void processPaused(Duration pause) {
        registry.all().forEach(agent -> agent.processPaused(pause));
        redirectedAgents.processPaused();
        nextSweep = context.loop().now().plus(SWEEP_INTERVAL);
    }

    // ---- commands

    /** The record or the claims of a machine, or what is wanted of them, have changed. */
    public void machineChanged(String machine) {
        changedMachines.add(machine);
    }

    /** Sends a machine's agent the commands that it needs, without waiting for its next heartbeat. */
    public void sendCommands(String machine) {
        AgentState agent = registry.get(machine);
        if (agent != null) {
            commandSender.sendCommands(agent);
        }
    }

    /** Sends commands to the agents of the machines where something has changed. */
    public void sendChangedCommands() {
        if (context.membership().mayAnswerAgents()) {
            changedMachines.takeAll().forEach(this::sendCommands);
        }
    }

    /** Marks a claim on one of our machines to be preempted. */
    public void preempt(Claim claim) {
        AgentState agent = context.owns(claim.machine()) ? registry.get(claim.machine()) : null;
        if (agent != null && taskStopper.preempt(agent, claim)) {
            changedMachines.add(claim.machine());
        }
    }

    // ---- periodic work

    /** One turn of the loop over the owned machines: expired leases, stragglers, conditions, statuses. */
    public void step() {
        if (!context.replica().loaded() || !context.membership().mayAnswerAgents()) {
            return;
        }
        Instant now = context.loop().now();
        reachabilityProbe.step(now);
        if (nextSweep == null || !now.isBefore(nextSweep)) {
            nextSweep = now.plus(SWEEP_INTERVAL);
            sweep(now);
        }
    }

    private void sweep(Instant now) {
        registry.takeOverOwnedMachines();
        leaseMonitor.expireLeases(now);
        for (AgentState agent : registry.all()) {
            MachineRecord onRecord = context.clusterState().machine(agent.machine());
            if (onRecord != null) {
                taskStopper.stopStragglers(agent, now);
                taskStopper.drain(agent, now);
                healthMonitor.judge(agent, onRecord, now);
                if (mayNeedCommands(agent)) {
                    changedMachines.add(agent.machine());
                }
            }
        }
        statusPublisher.publish(registry.all(), now);
        registry.removeIf(agent -> leaseMonitor.isForgotten(agent, now));
        outcomes.keepOnly(this::isHeld);
        faultDetector.keepOnly(registry.machines());
        redirectedAgents.forgetOld(now);
    }

    /** A machine without tasks and claims needs no commands: of thousands most may be idle. */
    private boolean mayNeedCommands(AgentState agent) {
        boolean hasTasks = agent.hasReported() && !agent.heartbeat().tasks().isEmpty();
        return hasTasks || !context.clusterState().claimsOn(agent.machine()).isEmpty();
    }

    private boolean isHeld(Claim claim) {
        Job job = context.clusterState().job(claim.task().job());
        return job != null && claim.equals(job.claim(claim.task().index()));
    }

    // ---- what the scheduler asks

    /** What this controller knows of the agent of a machine that it owns, or null. */
    public AgentState agent(String machine) {
        return registry.get(machine);
    }

    /** Outcomes of attempts that ended and whose claims are still in the store. */
    public AttemptOutcomes outcomes() {
        return outcomes;
    }

    /** A job is over. */
    public void jobEnded(Job last) {
        faultDetector.jobEnded(last);
    }

    /** How many tasks were stopped as stragglers. */
    public long stragglerStops() {
        return taskStopper.stragglerStops();
    }

    /**
     * Tells at any time whether a machine can be given new tasks; of others' machines their owners know. It holds until the
     * view or the machine's condition changes, so that a thousand machines need not be looked up in each round.
     */
    public Predicate<Instant> availability(MachineRecord machine) {
        AgentState agent = registry.get(machine.name());
        if (agent != null) {
            return now -> healthMonitor.usable(agent, now);
        }
        boolean ownedElsewhere = !context.owns(machine.name());
        return now -> ownedElsewhere;
    }

    /** Whether a task should not be tried again on a machine. */
    public boolean avoided(TaskId task, String machine) {
        AgentState agent = registry.get(machine);
        return agent != null && agent.avoids(task);
    }

    /** The condition of a machine: of our own machines we know it before it is on record. */
    public Condition condition(MachineRecord machine) {
        boolean retiring = machine.condition().compareTo(Condition.RETIRING) >= 0;
        AgentState agent = retiring || !context.owns(machine.name()) ? null : registry.get(machine.name());
        return agent == null ? machine.condition() : agent.condition();
    }

    /** What a machine has cached: of our own machines we know more than is on record. */
    public List<String> images(MachineRecord machine) {
        AgentState agent = registry.get(machine.name());
        return agent == null || agent.images() == null ? machine.images() : agent.images();
    }
}
