package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.havenford.coordination.membership.Membership;
import org.havenford.coordination.provisioning.TaskDemandEstimator.Pace;
import org.havenford.storage.ClusterState;
import org.havenford.storage.records.InstanceRequest;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines; active on the view's first member alone. All that must survive it is in the store: an
 * intent before each rental, and the condition RETURNING before each return.
 */
public final class Provisioner {
    private static final Logger LOG = LoggerFactory.getLogger(Provisioner.class);
    private static final Duration SIZE_EVERY = Duration.ofMillis(500);

    private final ProvisioningContext context;
    private final CloudInventory inventory;
    private final CapacityRefusals capacityRefusals = new CapacityRefusals();
    private final ScaleOut scaleOut;
    private final ScaleIn scaleIn;
    private final BootTimeEstimator bootTimeEstimator;
    private final BootMonitor bootMonitor = new BootMonitor();
    private final FleetSizeTarget target;
    private final boolean speedFirst;
    private Instant nextSize = Instant.MIN;
    private boolean active;

    /** A provisioner that acts once this member is the first of the view. */
    public Provisioner(ProvisioningContext context) {
        this.context = context;
        this.speedFirst = context.operator().speedFirst(context.settings());
        this.inventory = new CloudInventory(context);
        this.bootTimeEstimator = new BootTimeEstimator(context.clusterState());
        this.scaleOut = new ScaleOut(context, capacityRefusals, bootTimeEstimator);
        this.scaleIn = new ScaleIn(context, inventory, capacityRefusals, bootTimeEstimator, bootMonitor, speedFirst);
        this.target = new FleetSizeTarget(speedFirst, context.operator().spareShare());
    }

    /** Compares the demand with the fleet, and rents or returns machines. */
    public void step() {
        Membership membership = context.membership();
        boolean first = context.replica().loaded()
                && membership.mayAnswerAgents()
                && context.settings().node().equals(membership.view().provisioningLeader());
        if (!first) {
            active = false;
            return;
        }
        Instant now = context.loop().now();
        if (!active) {
            active = true;
            begin(now);
        }
        inventory.step(now);
        scaleIn.returnMachines();
        scaleOut.sendRequests();
        if (!now.isBefore(nextSize) && !context.clusterState().types().isEmpty()) {
            nextSize = now.plus(SIZE_EVERY);
            bootTimeEstimator.update(context.loop().timeOfDay());
            bootMonitor.reportOverdue(bootTimeEstimator.overdue(), bootTimeEstimator, now);
            scaleIn.markUnfit(now);
            adjustFleetSize(now);
        }
    }

    /** Machines that don't come up, for the log's line of each minute; null where this member is not the one that rents. */
    public String summary() {
        return active ? bootMonitor.summary() : null;
    }

    /** This process has stood still: what was seen of idle and silent machines before is old. */
    public void processPaused() {
        active = false;
    }

    private void begin(Instant now) {
        inventory.reset();
        bootTimeEstimator.reset();
        scaleOut.reset();
        scaleIn.reset(now);
        target.reset();
        nextSize = Instant.MIN;
    }

    private void adjustFleetSize(Instant now) {
        ClusterState clusterState = context.clusterState();
        InstanceCounts have = machineCounts();
        Instant timeOfDay = context.loop().timeOfDay();
        List<TaskDemand> allDemands = taskDemands(timeOfDay, Pace.ALL_AT_ONCE);
        List<TaskDemand> leastDemands = taskDemands(timeOfDay, Pace.AS_NEEDED);
        Object2DoubleOpenHashMap<InstanceKind> full = machines(allDemands, now, have);
        Object2DoubleOpenHashMap<InstanceKind> least = machines(leastDemands, now, have);
        InstanceCounts wanted =
                target.desired(now, clusterState.types().values(), full, least, kind -> exhausted(kind, now), have);
        if (LOG.isDebugEnabled()) {
            LOG.debug("fleet: have {}, idle {}, wanted {}, needed {}, could use {}", have, idle(), wanted, least, full);
        }
        scaleOut.requestInstances(now, wanted, have, boundToZones(speedFirst ? allDemands : leastDemands, now));
        scaleIn.retireSurplus(now, wanted, have);
    }

    private List<TaskDemand> taskDemands(Instant timeOfDay, Pace pace) {
        return TaskDemandEstimator.estimate(context.clusterState(), context.settings(), timeOfDay, pace);
    }

    /** Machines that there are, or that are on their way. */
    private InstanceCounts machineCounts() {
        InstanceCounts have = new InstanceCounts();
        for (MachineRecord machine : context.clusterState().machines()) {
            if (counts(machine)) {
                have.add(InstanceKind.of(machine), 1);
            }
        }
        for (InstanceRequest booking : context.clusterState().instanceRequests()) {
            have.add(InstanceKind.of(booking), booking.count());
        }
        return have;
    }

    private boolean counts(MachineRecord machine) {
        return switch (machine.condition()) {
            case UP, SILENT -> true;
            case BOOTING -> !bootTimeEstimator.isOverdue(machine);
            default -> false;
        };
    }

    private InstanceCounts idle() {
        InstanceCounts idle = new InstanceCounts();
        for (MachineRecord machine : context.clusterState().machines()) {
            boolean isIdle = machine.condition() == Condition.UP
                    && context.clusterState().claimsOn(machine.name()).isEmpty();
            if (isIdle) {
                idle.add(InstanceKind.of(machine), 1);
            }
        }
        return idle;
    }

    private boolean exhausted(InstanceKind kind, Instant now) {
        return capacityRefusals.isRefusedEverywhere(
                kind, context.clusterState().types().get(kind.type()), now);
    }

    private Object2DoubleOpenHashMap<InstanceKind> machines(
            List<TaskDemand> demands, Instant now, InstanceCounts have) {
        return CapacityDemand.machines(demands, context.clusterState().types(), kind -> exhausted(kind, now), have);
    }

    private Object2DoubleOpenHashMap<InstanceOffer> boundToZones(List<TaskDemand> demands, Instant now) {
        return ZoneDemand.machines(
                demands, context.clusterState().types(), offer -> capacityRefusals.wasRefusedLately(offer, now));
    }
}
