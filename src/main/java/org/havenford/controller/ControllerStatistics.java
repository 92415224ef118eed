package org.havenford.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.scheduling.Scheduler;
import org.havenford.storage.ClusterState;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Histograms of a controller's latencies, logged once a minute together with the summaries of its components. */
final class ControllerStatistics {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerStatistics.class);
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(60);
    private static final long MAX_RECORDED_MICROS = 60_000_000L;
    private static final int SIGNIFICANT_DIGITS = 2;

    /**
     * A component and the supplier of its summary since the last log; the summary is empty if there is nothing to log.
     */
    record Section(String name, Supplier<Optional<String>> summary) {}

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final AgentManager agentManager;
    private final ClusterState clusterState;
    private final List<Section> sections;
    private final Histogram responseMicros = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram timerDelayMicros = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    private Instant nextLog;

    ControllerStatistics(
            EventLoop loop,
            Scheduler scheduler,
            AgentManager agentManager,
            ClusterState clusterState,
            List<Section> sections) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.agentManager = agentManager;
        this.clusterState = clusterState;
        this.sections = sections;
        this.nextLog = loop.now().plus(LOG_INTERVAL);
    }

    /** Records the time between the arrival of a request and its response. */
    void recordResponse(Duration duration) {
        record(responseMicros, duration);
    }

    /** Records the delay of a tick against its due time. */
    void recordTimerDelay(Duration delay) {
        record(timerDelayMicros, delay);
    }

    private static void record(Histogram histogram, Duration duration) {
        histogram.recordValue(Math.max(0, Math.min(MAX_RECORDED_MICROS, duration.toNanos() / 1000)));
    }

    /** Logs and resets the statistics if the log interval has passed. */
    void logIfDue() {
        if (loop.now().isBefore(nextLog)) {
            return;
        }
        nextLog = loop.now().plus(LOG_INTERVAL);
        Histogram roundMicros = scheduler.roundMicros();
        LOG.info(
                "controller statistics: rounds={} roundP50Us={} roundP99Us={} answers={} answerP50Us={} answerP99Us={} "
                        + "timerDelayP99Us={} stragglers={} jobs={} machines={} memoryMb={}",
                roundMicros.getTotalCount(),
                roundMicros.getValueAtPercentile(50),
                roundMicros.getValueAtPercentile(99),
                responseMicros.getTotalCount(),
                responseMicros.getValueAtPercentile(50),
                responseMicros.getValueAtPercentile(99),
                timerDelayMicros.getValueAtPercentile(99),
                agentManager.stragglerStops(),
                clusterState.jobs().size(),
                clusterState.machines().size(),
                usedMemoryMegabytes());
        for (Section section : sections) {
            section.summary().get().ifPresent(summary -> LOG.info("{}: {}", section.name(), summary));
        }
        roundMicros.reset();
        responseMicros.reset();
        timerDelayMicros.reset();
    }

    private static long usedMemoryMegabytes() {
        return (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20;
    }
}
