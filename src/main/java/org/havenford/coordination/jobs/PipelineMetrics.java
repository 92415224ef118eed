package org.havenford.coordination.jobs;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** How long jobs with dependencies wait once the last of these has ended, for the log. */
public final class PipelineMetrics {
    private static final long MAX_MILLIS = 3_600_000L;
    private static final int SIGNIFICANT_DIGITS = 2;

    /** From the end of the last dependency until the release is committed. */
    private final Histogram untilRelease = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);
    /** From the end of the last dependency until the first claim is committed. */
    private final Histogram untilFirstClaim = new Histogram(MAX_MILLIS, SIGNIFICANT_DIGITS);

    /** Records how long after the end of its last dependency a job was released. */
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

    /** What was recorded since the last call, as {@code key=value} pairs. */
    public String summary() {
        String text = describe("release", untilRelease) + " " + describe("firstClaim", untilFirstClaim);
        untilRelease.reset();
        untilFirstClaim.reset();
        return text;
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
