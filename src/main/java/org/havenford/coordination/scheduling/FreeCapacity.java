package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.MachineRecord;

/** What is left on a machine; claims that are not confirmed gone count as taken. */
final class FreeCapacity {
    /** Amounts are decimal numbers: what differs by less than this is equal. */
    static final double EPSILON = 1e-6;
    /** Least rate of image fetches that is reckoned with, in GB a second. */
    private static final double SLOWEST_FETCH = 0.01;
    /** Part of a fetch that is left, on average, when another task has begun it. */
    private static final double LEFT_OF_FETCH = 0.6;

    private final Predicate<Instant> availability;
    final MachineRecord machine;
    final MachineType type;
    /** The controller that may claim here. */
    final String owner;

    final Set<String> images;
    final List<Claim> claims = new ArrayList<>();
    /** Images that claims on this machine may still be fetching. */
    final Set<String> pulling = new HashSet<>(4);

    double cpus;
    double gpus;
    double mem;
    /** Work of this priority is about to take what room there is; it is not for lower work meanwhile. */
    JobSpec.Priority reservedFor;

    FreeCapacity(
            MachineRecord machine,
            MachineType type,
            String owner,
            List<String> images,
            Predicate<Instant> availability) {
        this.owner = owner;
        this.availability = availability;
        this.machine = machine;
        this.type = type;
        this.images = Set.copyOf(images);
        cpus = type.cpus();
        gpus = type.gpus();
        mem = type.memGb();
    }

    /** Whether the machine can be given new tasks at a steady time. */
    boolean takesTasks(Instant now) {
        return availability.test(now);
    }

    boolean fits(JobSpec spec) {
        return spec.cpus() <= cpus + EPSILON && spec.gpus() <= gpus + EPSILON && spec.memGb() <= mem + EPSILON;
    }

    /** Whether the machine is reserved for work that is more urgent than this priority. */
    boolean isReservedAbove(JobSpec.Priority priority) {
        return reservedFor != null && reservedFor.compareTo(priority) < 0;
    }

    /** Whether an image is on the machine or on its way there. */
    boolean hasOrPulls(String image) {
        return images.contains(image) || pulling.contains(image);
    }

    void allocate(JobSpec spec) {
        cpus -= spec.cpus();
        gpus -= spec.gpus();
        mem -= spec.memGb();
        if (!images.contains(spec.image())) {
            pulling.add(spec.image());
        }
    }

    void release(JobSpec spec) {
        cpus += spec.cpus();
        gpus += spec.gpus();
        mem += spec.memGb();
    }

    /** How many more tasks fit. */
    int slots(JobSpec spec) {
        double n = cpus / spec.cpus();
        n = spec.gpus() > 0 ? Math.min(n, gpus / spec.gpus()) : n;
        n = spec.memGb() > 0 ? Math.min(n, mem / spec.memGb()) : n;
        return (int) (n + EPSILON);
    }

    /** Seconds until a task that is claimed now has its image. */
    double pullSeconds(JobSpec spec) {
        if (images.contains(spec.image())) {
            return 0;
        }
        double alone = spec.imageGb() / Math.max(SLOWEST_FETCH, type.imagePullGbPerSecond());
        return pulling.contains(spec.image()) ? alone * LEFT_OF_FETCH : alone * (1 + pulling.size());
    }
}
