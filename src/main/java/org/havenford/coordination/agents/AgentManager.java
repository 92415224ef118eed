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
 * the store; its actual state comes from the agent's newest heartbeat. Commands are sent for the difference, and the
 * outcomes of ended attempts are kept until they are stored.
 */
public final class AgentManager {
    private static final Duration SWEEP_INTERVAL = Duration.ofMillis(500);

    private final AgentContext context;
    private final AgentRegistry registry;
    private final ChangedMachines changedMachines = new ChangedMachines();
    private final DecisionLog decisionLog;
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
    /** When the next sweep is due; null if it is due immediately. */
    private Instant nextSweep;

    /** Creates a manager without agents; {@code listener} is notified of changes that concern the scheduler. */
    public AgentManager(
            AgentContext context, HttpCalls calls, OperatorSettings operatorSettings, AgentListener listener) {
        this.context = context;
        registry = new AgentRegistry(context);
        decisionLog = new DecisionLog(context, registry);
        outcomes = new AttemptOutcomes(context.clusterState(), listener, decisionLog);
        faultDetector = new MachineFaultDetector(context.clusterState());
        healthMonitor = new MachineHealthMonitor(context.settings(), faultDetector, listener);
        ImageCacheTracker imageCache = new ImageCacheTracker(context.clusterState(), listener);
        HeartbeatReconciler reconciler = new HeartbeatReconciler(
                context, outcomes, decisionLog, imageCache, faultDetector, healthMonitor.heartbeatFreshness());
        HeartbeatIntake intake =
                new HeartbeatIntake(context, changedMachines, reconciler, new MachineAdoption(context), healthMonitor);
        CommandPlanner commandPlanner = new CommandPlanner(context, outcomes, decisionLog);
        redirectedAgents =
                new RedirectedAgents(context.membership(), context.settings().agentLease());
        heartbeatHandler = new HeartbeatHandler(context, registry, redirectedAgents, intake, commandPlanner, listener);
        commandSender = new DirectCommandSender(context, calls, registry, commandPlanner, intake, listener);
        leaseMonitor = new AgentLeaseMonitor(context, registry, outcomes, decisionLog);
        taskStopper = new TaskStopper(context.clusterState(), operatorSettings);
        statusPublisher = new MachineStatusPublisher(context);
        reachabilityProbe = new ReachabilityProbe(context, calls);
    }

    /** Applies a change of the view: drops agents of machines that were reassigned away, takes over those gained. */
    public void viewChanged() {
        reachabilityProbe.viewChanged(registry.wasCordoned());
        registry.viewChanged().forEach(reachabilityProbe::addFormerAgent);
        outcomes.retainIf(claim -> isHeld(claim) && context.owns(claim.machine()));
        nextSweep = null;
    }

    /** Returns the contacts of all agents on owned machines that have reported. */
    public List<AgentContact> contacts() {
        return registry.contacts();
    }

    /**
     * Restores what the former owner knew of an agent, and calls the agent to announce the new owner's fencing token.
     * Heartbeats that are no newer than the last one of the former owner are then rejected as outdated, even before the
     * agent has reported to this controller.
     */
    public void contactAgent(AgentContact contact) {
        if (!context.membership().mayAnswerAgents() || !context.owns(contact.machine())) {
            return;
        }
        AgentState agent = registry.getOrTakeOver(contact.machine());
        if (agent.hasReported()) {
            return;
        }
        agent.restore(contact);
        commandSender.announceOwner(agent, contact);
    }

    /** Returns how many of the recorded machines a node owns. */
    public int ownedMachineCount(String node) {
        int owned = 0;
        for (MachineRecord machine : context.clusterState().machines()) {
            if (node.equals(context.membership().owner(machine.name()))) {
                owned++;
            }
        }
        return owned;
    }

    /** Processes a heartbeat and returns the response to it. */
    public HeartbeatResponse handleHeartbeat(Heartbeat heartbeat) {
        return heartbeatHandler.handle(heartbeat);
    }

    /** Returns whether agents should be reporting to this controller: it owns at least one machine that is up. */
    public boolean expectsHeartbeats() {
        return context.membership().mayAnswerAgents()
                && registry.all().stream().anyMatch(agent -> agent.condition() == Condition.UP);
    }

    /** Adjusts the state after a pause of this process, in which no heartbeats were received. */
    public void processPaused(Duration pause) {
        registry.all().forEach(agent -> agent.processPaused(pause));
        redirectedAgents.processPaused();
        nextSweep = context.loop().now().plus(SWEEP_INTERVAL);
    }

    /** Marks a machine whose record, claims or claimed jobs have changed, so that its agent may need commands. */
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

    /** Sends commands to the agents of all machines marked as changed. */
    public void sendChangedCommands() {
        if (context.membership().mayAnswerAgents()) {
            changedMachines.takeAll().forEach(this::sendCommands);
        }
    }

    /** Marks a claim to be preempted if this controller owns its machine. */
    public void preempt(Claim claim) {
        AgentState agent = context.owns(claim.machine()) ? registry.get(claim.machine()) : null;
        if (agent != null && taskStopper.preempt(agent, claim)) {
            changedMachines.add(claim.machine());
        }
    }

    /** Runs the periodic work that is due: reachability probes, and a sweep over all owned machines. */
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
            MachineRecord machineRecord = context.clusterState().machine(agent.machine());
            if (machineRecord != null) {
                taskStopper.stopStragglers(agent, now);
                taskStopper.drain(agent, now);
                healthMonitor.updateCondition(agent, machineRecord, now);
                if (mayNeedCommands(agent)) {
                    changedMachines.add(agent.machine());
                }
            }
        }
        statusPublisher.publish(registry.all(), now);
        registry.removeIf(agent -> leaseMonitor.canBeRemoved(agent, now));
        outcomes.retainIf(this::isHeld);
        faultDetector.retainMachines(registry.machines());
        redirectedAgents.removeExpired(now);
    }

    /** Returns whether a machine has tasks or claims; most of thousands of machines may be idle and need no commands. */
    private boolean mayNeedCommands(AgentState agent) {
        boolean hasTasks = agent.hasReported() && !agent.heartbeat().tasks().isEmpty();
        return hasTasks || !context.clusterState().claimsOn(agent.machine()).isEmpty();
    }

    private boolean isHeld(Claim claim) {
        Job job = context.clusterState().job(claim.task().job());
        return job != null && claim.equals(job.claim(claim.task().index()));
    }

    /** Returns the state of a machine's agent, or null if this controller does not manage it. */
    public AgentState agent(String machine) {
        return registry.get(machine);
    }

    /** Returns the outcomes of ended attempts whose claims are still in the store. */
    public AttemptOutcomes outcomes() {
        return outcomes;
    }

    /** Records the end of a job; {@code lastState} is its last state. */
    public void jobEnded(Job lastState) {
        faultDetector.jobEnded(lastState);
    }

    /** Returns counts of the commands sent and the attempts ended since the last call, as {@code key=value} pairs. */
    public String takeDecisionSummary() {
        return decisionLog.takeSummary();
    }

    /** Returns how many attempts were stopped as stragglers. */
    public long stragglerStops() {
        return taskStopper.stragglerStops();
    }

    /**
     * Returns a predicate that tells at a given time whether a machine can take new tasks. Machines of other owners always
     * pass, because only their owners can judge them. The predicate stays valid until the view or the machine's condition
     * changes, which avoids looking up a thousand machines in each round.
     */
    public Predicate<Instant> acceptsTasksAt(MachineRecord machine) {
        AgentState agent = registry.get(machine.name());
        if (agent != null) {
            return now -> healthMonitor.canTakeTasks(agent, now);
        }
        boolean ownedElsewhere = !context.owns(machine.name());
        return now -> ownedElsewhere;
    }

    /** Returns whether a task failed on a machine and should not be placed there again. */
    public boolean shouldAvoid(TaskId task, String machine) {
        AgentState agent = registry.get(machine);
        return agent != null && agent.avoids(task);
    }

    /** Returns the condition of a machine; for an owned machine it is more recent than the record. */
    public Condition condition(MachineRecord machine) {
        boolean retiring = machine.condition().compareTo(Condition.RETIRING) >= 0;
        AgentState agent = retiring || !context.owns(machine.name()) ? null : registry.get(machine.name());
        return agent == null ? machine.condition() : agent.condition();
    }

    /** Returns the images in a machine's cache; for an owned machine they are more recent than the record. */
    public List<String> images(MachineRecord machine) {
        AgentState agent = registry.get(machine.name());
        return agent == null || agent.images() == null ? machine.images() : agent.images();
    }
}
