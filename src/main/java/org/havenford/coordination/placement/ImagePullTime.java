package org.havenford.coordination.placement;

import java.util.Collection;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;

/** Estimates how long machines take to pull the image of a job. */
public final class ImagePullTime {
    /** Lower bound of the pull rate, in GB per second, which keeps the estimate finite. */
    private static final double MIN_RATE_GB_PER_SECOND = 0.01;
    /** Pull rate, in GB per second, that is assumed for a job that fits no known machine type. */
    private static final double DEFAULT_RATE_GB_PER_SECOND = 1;

    private ImagePullTime() {}

    /** Returns the seconds that a machine of a type takes to pull a job's image if it pulls no other image. */
    public static double seconds(JobSpec spec, MachineType type) {
        return secondsAt(spec, type.imagePullGbPerSecond());
    }

    /** Returns the seconds that the fastest machine type on which the job's tasks fit takes to pull its image. */
    public static double fastestSeconds(JobSpec spec, Collection<MachineType> types) {
        double rate = types.stream()
                .filter(spec::fits)
                .mapToDouble(MachineType::imagePullGbPerSecond)
                .max()
                .orElse(DEFAULT_RATE_GB_PER_SECOND);
        return secondsAt(spec, rate);
    }

    private static double secondsAt(JobSpec spec, double rate) {
        return spec.imageGb() / Math.max(MIN_RATE_GB_PER_SECOND, rate);
    }
}
