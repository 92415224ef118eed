package org.havenford.coordination.jobs;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Histograms of how long jobs with dependencies wait after the end of their last dependency, for the log. */
public final class PipelineMetrics {
    private static final long MAX_RECORDED_MILLIS = 3_600_000L;
    private static final int SIGNIFICANT_DIGITS = 2;

    /** Delays from the end of the last dependency to the committed release, in milliseconds. */
    private final Histogram releaseDelays = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);
    /** Delays from the end of the last dependency to the first committed claim, in milliseconds. */
    private final Histogram firstClaimDelays = new Histogram(MAX_RECORDED_MILLIS, SIGNIFICANT_DIGITS);

    /** Records the delay between the end of the last dependency of a job and its release. */
    void recordRelease(Instant lastDependencyEnd, Instant now) {
        record(releaseDelays, lastDependencyEnd, now);
    }

    /** Records the delay between the end of the last dependency of a job and its first claim. */
    public void recordFirstClaim(Instant lastDependencyEnd, Instant now) {
        record(firstClaimDelays, lastDependencyEnd, now);
    }

    private static void record(Histogram histogram, Instant from, Instant to) {
        long millis = Duration.between(from, to).toMillis();
        histogram.recordValue(Math.max(0, Math.min(MAX_RECORDED_MILLIS, millis)));
    }

    /** Returns the delays recorded since the last call as {@code key=value} pairs, and resets the histograms. */
    public String takeSummary() {
        String summary = describe("release", releaseDelays) + " " + describe("firstClaim", firstClaimDelays);
        releaseDelays.reset();
        firstClaimDelays.reset();
        return summary;
    }

    private static String describe(String name, Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "%1$sCount=%2$d %1$sDelayP50Ms=%3$d %1$sDelayP90Ms=%4$d %1$sDelayMaxMs=%5$d",
                name,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(90),
                histogram.getMaxValue());
    }
}
