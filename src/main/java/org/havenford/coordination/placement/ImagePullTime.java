package org.havenford.coordination.placement;

import java.util.Collection;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;

/** Estimates of how long machines take to pull the image of a job. */
public final class ImagePullTime {
    /** Rates below this one, in GB per second, count as this one: the estimate stays finite. */
    private static final double LOWEST_RATE = 0.01;
    /** Rate in GB per second that is assumed of a job that fits no known machine type. */
    private static final double DEFAULT_RATE = 1;

    private ImagePullTime() {}

    /** Seconds that a machine of a type takes to pull the job's image when it pulls nothing else. */
    public static double seconds(JobSpec spec, MachineType type) {
        return secondsAt(spec, type.imagePullGbPerSecond());
    }

    /** Seconds that the fastest of the machine types that the job fits takes to pull its image. */
    public static double fastestSeconds(JobSpec spec, Collection<MachineType> types) {
        double rate = types.stream()
                .filter(spec::fits)
                .mapToDouble(MachineType::imagePullGbPerSecond)
                .max()
                .orElse(DEFAULT_RATE);
        return secondsAt(spec, rate);
    }

    private static double secondsAt(JobSpec spec, double rate) {
        return spec.imageGb() / Math.max(LOWEST_RATE, rate);
    }
}
