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

/** Free capacity of a machine; claims that are not confirmed to have ended count as taken. */
final class FreeCapacity {
    /** Amounts are decimal numbers: what differs by less than this is equal. */
    static final double EPSILON = 1e-6;
    /** Part of a pull that is left, on average, when another task has begun it. */
    private static final double REMAINING_PULL_FRACTION = 0.6;

    private final Predicate<Instant> takesTasksAt;
    final MachineRecord machine;
    final MachineType type;
    /** The controller that may claim here. */
    final String owner;

    final Set<String> images;
    final List<Claim> claims = new ArrayList<>();
    /** Images that claims on this machine may still be pulling. */
    final Set<String> pulling = new HashSet<>(4);

    double cpus;
    double gpus;
    double memGb;
    /** The capacity is kept for work of this priority and above until the next round; null if it is not reserved. */
    JobSpec.Priority reservedFor;

    FreeCapacity(
            MachineRecord machine,
            MachineType type,
            String owner,
            List<String> images,
            Predicate<Instant> takesTasksAt) {
        this.owner = owner;
        this.takesTasksAt = takesTasksAt;
        this.machine = machine;
        this.type = type;
        this.images = Set.copyOf(images);
        cpus = type.cpus();
        gpus = type.gpus();
        memGb = type.memGb();
    }

    /** Whether the machine can be given new tasks at a time of the monotonic clock. */
    boolean takesTasks(Instant now) {
        return takesTasksAt.test(now);
    }

    /** Whether one more task of a job fits. */
    boolean fits(JobSpec spec) {
        return spec.cpus() <= cpus + EPSILON && spec.gpus() <= gpus + EPSILON && spec.memGb() <= memGb + EPSILON;
    }

    /** Whether the machine is reserved for work that is more urgent than this priority. */
    boolean isReservedAbove(JobSpec.Priority priority) {
        return reservedFor != null && reservedFor.compareTo(priority) < 0;
    }

    /** Whether an image is on the machine or on its way there. */
    boolean hasOrPulls(String image) {
        return images.contains(image) || pulling.contains(image);
    }

    /** Takes the capacity of one task, which may have to pull its image. */
    void allocate(JobSpec spec) {
        cpus -= spec.cpus();
        gpus -= spec.gpus();
        memGb -= spec.memGb();
        if (!images.contains(spec.image())) {
            pulling.add(spec.image());
        }
    }

    /** Gives back the capacity of one task. */
    void release(JobSpec spec) {
        cpus += spec.cpus();
        gpus += spec.gpus();
        memGb += spec.memGb();
    }

    /** How many more tasks of a job fit. */
    int slots(JobSpec spec) {
        double slots = cpus / spec.cpus();
        slots = spec.gpus() > 0 ? Math.min(slots, gpus / spec.gpus()) : slots;
        slots = spec.memGb() > 0 ? Math.min(slots, memGb / spec.memGb()) : slots;
        return (int) (slots + EPSILON);
    }

    /** Seconds until a task that is claimed now has its image; pulls share the machine's bandwidth. */
    double pullSeconds(JobSpec spec) {
        if (images.contains(spec.image())) {
            return 0;
        }
        double alone = ImagePullTime.seconds(spec, type);
        return pulling.contains(spec.image()) ? alone * REMAINING_PULL_FRACTION : alone * (1 + pulling.size());
    }
}
