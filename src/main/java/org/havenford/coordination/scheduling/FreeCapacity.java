package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.havenford.coordination.placement.ImagePullTime;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.MachineRecord;

/** Free capacity of a machine. Claims use capacity until their attempts are confirmed to have ended. */
final class FreeCapacity {
    /** Amounts are floating-point numbers; those that differ by less than this count as equal. */
    static final double EPSILON = 1e-6;
    /** Average fraction of an image pull that remains when another task has already started it. */
    private static final double REMAINING_PULL_FRACTION = 0.6;

    private final Predicate<Instant> acceptsTasksAt;
    final MachineRecord machine;
    final MachineType type;
    /** Name of the controller that owns the machine, the only one that claims tasks on it. */
    final String owner;

    final Set<String> images;
    final List<Claim> claims = new ArrayList<>();
    /** Images that are not cached and that claims on this machine may be pulling. */
    final Set<String> pulling = new HashSet<>(4);

    double cpus;
    double gpus;
    double memGb;
    /** Priority for which, and for higher ones, the capacity is reserved until the next round; null if not reserved. */
    JobSpec.Priority reservedFor;

    FreeCapacity(
            MachineRecord machine,
            MachineType type,
            String owner,
            List<String> images,
            Predicate<Instant> acceptsTasksAt) {
        this.owner = owner;
        this.acceptsTasksAt = acceptsTasksAt;
        this.machine = machine;
        this.type = type;
        this.images = Set.copyOf(images);
        cpus = type.cpus();
        gpus = type.gpus();
        memGb = type.memGb();
    }

    /** Whether the machine accepts new tasks at a time of the monotonic clock. */
    boolean acceptsTasks(Instant now) {
        return acceptsTasksAt.test(now);
    }

    /** Whether one more task of a job fits. */
    boolean fits(JobSpec spec) {
        return spec.cpus() <= cpus + EPSILON && spec.gpus() <= gpus + EPSILON && spec.memGb() <= memGb + EPSILON;
    }

    /** Whether the machine is reserved for a higher priority than the given one. */
    boolean isReservedAbove(JobSpec.Priority priority) {
        return reservedFor != null && reservedFor.compareTo(priority) < 0;
    }

    /** Whether the machine has an image cached or may be pulling it. */
    boolean hasOrPulls(String image) {
        return images.contains(image) || pulling.contains(image);
    }

    /** Subtracts the capacity of one task, and records its image as being pulled unless it is cached. */
    void allocate(JobSpec spec) {
        cpus -= spec.cpus();
        gpus -= spec.gpus();
        memGb -= spec.memGb();
        if (!images.contains(spec.image())) {
            pulling.add(spec.image());
        }
    }

    /** Adds the capacity of one task back. */
    void release(JobSpec spec) {
        cpus += spec.cpus();
        gpus += spec.gpus();
        memGb += spec.memGb();
    }

    /** Returns how many more tasks of a job fit. */
    int slots(JobSpec spec) {
        double slots = cpus / spec.cpus();
        slots = spec.gpus() > 0 ? Math.min(slots, gpus / spec.gpus()) : slots;
        slots = spec.memGb() > 0 ? Math.min(slots, memGb / spec.memGb()) : slots;
        return (int) (slots + EPSILON);
    }

    /** Estimates the seconds until a task claimed now has its image; concurrent pulls share the machine's bandwidth. */
    double pullSeconds(JobSpec spec) {
        if (images.contains(spec.image())) {
            return 0;
        }
        double alone = ImagePullTime.seconds(spec, type);
        return pulling.contains(spec.image()) ? alone * REMAINING_PULL_FRACTION : alone * (1 + pulling.size());
    }
}
