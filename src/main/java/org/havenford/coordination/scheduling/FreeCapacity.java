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
    final Set<String> fetching = new HashSet<>(4);

    double cpus;
    double cards;
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
        cards = type.cards();
        mem = type.memGb();
    }

    /** Whether the machine can be given new tasks at a steady time. */
    boolean takesTasks(Instant now) {
        return availability.test(now);
    }

    boolean fits(JobSpec s) {
        return s.cpus() <= cpus + EPSILON && s.cards() <= cards + EPSILON && s.memGb() <= mem + EPSILON;
    }

    /** Whether an image is on the machine or on its way there. */
    boolean hasOrFetches(String image) {
        return images.contains(image) || fetching.contains(image);
    }

    void take(JobSpec s) {
        cpus -= s.cpus();
        cards -= s.cards();
        mem -= s.memGb();
        if (!images.contains(s.image())) {
            fetching.add(s.image());
        }
    }

    void give(JobSpec s) {
        cpus += s.cpus();
        cards += s.cards();
        mem += s.memGb();
    }

    /** How many more tasks fit. */
    int slots(JobSpec s) {
        double n = cpus / s.cpus();
        n = s.cards() > 0 ? Math.min(n, cards / s.cards()) : n;
        n = s.memGb() > 0 ? Math.min(n, mem / s.memGb()) : n;
        return (int) (n + EPSILON);
    }

    /** Seconds until a task that is claimed now has its image. */
    double fetchSeconds(JobSpec s) {
        if (images.contains(s.image())) {
            return 0;
        }
        double alone = s.imageGb() / Math.max(SLOWEST_FETCH, type.fetchGbPerS());
        return fetching.contains(s.image()) ? alone * LEFT_OF_FETCH : alone * (1 + fetching.size());
    }
}
