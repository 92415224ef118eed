package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.havenford.coordination.membership.Membership;
import org.havenford.coordination.provisioning.TaskDemandEstimator.DemandScope;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.MachineRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scales the fleet out and in. It is active only on the provisioning leader. Intents are stored before they are carried
 * out, so that they survive a failover: an instance request before each launch, and the service state RETIRING or
 * RETURNING before each return.
 */
public final class Provisioner {
    private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
    private static final Duration SIZING_INTERVAL = Duration.ofMillis(500);

    private final ProvisioningContext context;
    private final MachineTypeRefresher machineTypes;
    private final CloudInventory inventory;
    private final CapacityRefusals capacityRefusals = new CapacityRefusals();
    private final InstanceRequestPlanner requestPlanner;
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;
    private final BootTimeEstimator bootTimeEstimator;
    private final BootMonitor bootMonitor = new BootMonitor();
    private final FleetSizeTarget fleetSizeTarget;
    private final ScalingGoal goal;
    private final DueTime sizingDue = new DueTime();
    private boolean active;

    /** Creates a provisioner that becomes active when this member is the provisioning leader. */
    public Provisioner(ProvisioningContext context) {
        this.context = context;
        this.goal = context.operatorSettings().speedFirst(context.settings()) ? ScalingGoal.SPEED : ScalingGoal.COST;
        this.machineTypes = new MachineTypeRefresher(context);
        this.inventory = new CloudInventory(context);
        this.bootTimeEstimator = new BootTimeEstimator(context.clusterState());
        this.requestPlanner = new InstanceRequestPlanner(context.clusterState(), capacityRefusals, bootTimeEstimator);
        this.scaleOut = new ScaleOut(context, capacityRefusals);
        this.scaleIn = new ScaleIn(
                context,
                inventory,
                capacityRefusals,
                new UnfitMachineDetector(context, inventory, bootTimeEstimator),
                new IdleMachines(
                        context.clusterState(), context.operatorSettings().idleBeforeReturn(), goal),
                bootMonitor);
        this.fleetSizeTarget =
                new FleetSizeTarget(goal, context.operatorSettings().spareShare());
    }

    /**
     * Sends stored instance requests and machine returns to the cloud, and adjusts the fleet size to the demand at
     * regular intervals. Does nothing unless this controller is the provisioning leader.
     */
    public void step() {
        if (!isLeader()) {
            active = false;
            return;
        }
        Instant now = context.loop().now();
        if (!active) {
            active = true;
            reset(now);
        }
        machineTypes.step(now);
        inventory.step(now);
        scaleIn.returnMachines();
        scaleOut.sendRequests();
        if (sizingDue.isReached(now) && !context.clusterState().types().isEmpty()) {
            sizingDue.postponeTo(now.plus(SIZING_INTERVAL));
            bootTimeEstimator.update(context.loop().timeOfDay());
            bootMonitor.reportOverdue(bootTimeEstimator.overdueByOffer(), bootTimeEstimator, now);
            scaleIn.markUnfitMachines(now);
            adjustFleetSize(now);
        }
    }

    /** Returns the boot statistics for the line logged every minute, or null if the provisioner is not active. */
    public String summary() {
        return active ? bootMonitor.summary() : null;
    }

    /** Handles a pause of this process: the next step resets state that may be outdated, such as idle times. */
    public void processPaused() {
        active = false;
    }

    private boolean isLeader() {
        Membership membership = context.membership();
        return context.replica().loaded()
                && membership.mayAnswerAgents()
                && context.settings().node().equals(membership.view().provisioningLeader());
    }

    private void reset(Instant now) {
        inventory.reset();
        bootTimeEstimator.reset();
        scaleOut.reset();
        scaleIn.reset(now);
        fleetSizeTarget.reset();
        sizingDue.reset();
    }

    private void adjustFleetSize(Instant now) {
        ClusterState clusterState = context.clusterState();
        InstanceCounts present = countPresentMachines();
        Instant timeOfDay = context.loop().timeOfDay();
        List<TaskDemand> allTaskDemands = taskDemands(timeOfDay, DemandScope.ALL_AT_ONCE);
        List<TaskDemand> neededTaskDemands = taskDemands(timeOfDay, DemandScope.AS_NEEDED);
        MachineDemand demand = new MachineDemand(
                requiredMachines(allTaskDemands, now, present), requiredMachines(neededTaskDemands, now, present));
        InstanceCounts wanted = fleetSizeTarget.wanted(
                now, clusterState.types().values(), demand, kind -> isExhausted(kind, now), present);
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "fleet size: present={} idle={} wanted={} asNeeded={} allAtOnce={}",
                    present,
                    countIdleMachines(),
                    wanted,
                    demand.asNeeded(),
                    demand.allAtOnce());
        }
        List<TaskDemand> zoneTaskDemands = goal == ScalingGoal.SPEED ? allTaskDemands : neededTaskDemands;
        scaleOut.storeRequests(requestPlanner.plan(now, wanted, present, zoneDemand(zoneTaskDemands, now)));
        scaleIn.retireSurplusMachines(now, wanted, present);
    }

    private List<TaskDemand> taskDemands(Instant timeOfDay, DemandScope scope) {
        return TaskDemandEstimator.estimate(context.clusterState(), context.settings(), timeOfDay, scope);
    }

    /** Counts the machines that are up, silent, booting and not overdue, or requested. */
    private InstanceCounts countPresentMachines() {
        InstanceCounts present = new InstanceCounts();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (countsAsPresent(machine)) {
                present.add(InstanceKind.of(machine), 1);
            }
        }
        for (InstanceRequest request : context.clusterState().instanceRequests()) {
            present.add(InstanceKind.of(request), request.count());
        }
        return present;
    }

    private boolean countsAsPresent(MachineRecord machine) {
        return switch (machine.condition()) {
            case UP, SILENT -> true;
            case BOOTING -> !bootTimeEstimator.isOverdue(machine);
            default -> false;
        };
    }

    private InstanceCounts countIdleMachines() {
        InstanceCounts idle = new InstanceCounts();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (IdleMachines.isIdle(machine, context.clusterState())) {
                idle.add(InstanceKind.of(machine), 1);
            }
        }
        return idle;
    }

    private boolean isExhausted(InstanceKind kind, Instant now) {
        return capacityRefusals.isRefusedInAllZones(
                kind, context.clusterState().types().get(kind.type()), now);
    }

    private Object2DoubleOpenHashMap<InstanceKind> requiredMachines(
            List<TaskDemand> demands, Instant now, InstanceCounts present) {
        return CapacityDemand.requiredMachines(
                demands, context.clusterState().types(), kind -> isExhausted(kind, now), present);
    }

    private Object2DoubleOpenHashMap<InstanceOffer> zoneDemand(List<TaskDemand> demands, Instant now) {
        return ZoneDemand.requiredMachines(
                demands, context.clusterState().types(), offer -> capacityRefusals.wasRecentlyRefused(offer, now));
    }
}
