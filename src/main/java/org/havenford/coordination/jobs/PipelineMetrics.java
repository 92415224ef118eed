package org.havenford.coordination.jobs;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** How long jobs that awaited others wait once the last job that they need has ended, for the log. */
public final class PipelineMetrics {
    private static final long MAX_MILLIS = 3_600_000L;

    /** From the end of the last needed job until the release is committed. */
    private final Histogram untilRelease = new Histogram(MAX_MILLIS, 2);
    /** From the end of the last needed job until the first claim is committed. */
    private final Histogram untilFirstClaim = new Histogram(MAX_MILLIS, 2);

    void released(Instant lastEnd, Instant now) {
        record(untilRelease, lastEnd, now);
    }

    /** Records how long after the end of its last dependency a job got its first claim. */
    public void firstClaim(Instant lastEnd, Instant now) {
        record(untilFirstClaim, lastEnd, now);
    }

    private static void record(Histogram histogram, Instant from, Instant to) {
        long millis = Duration.between(from, to).toMillis();
        histogram.recordValue(Math.max(0, Math.min(MAX_MILLIS, millis)));
    }

    /** What was counted since the last call. */
    public String summary() {
        String text = "released jobs " + describe(untilRelease) + ", their first claims " + describe(untilFirstClaim);
        untilRelease.reset();
        untilFirstClaim.reset();
        return text;
    }

    private static String describe(Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "%d (p50 %d ms, p90 %d ms, max %d ms after the last end)",
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50),
                histogram.getValueAtPercentile(90),
                histogram.getMaxValue());
    }
}
