package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Plays runs whose work and faults are drawn from a seed and written as traces; the same seed gives the same trace. */
final class RandomizedScenarios {
    /** How many seeds of each kind are played, in twelfths of its usual number. */
    private static final int USUAL_SCALE = 12;

    private RandomizedScenarios() {}

    /**
     * Plays runs of consecutive seeds. The system property {@code havenford.seeds} scales how many of each kind are played
     * (12 by default), {@code havenford.firstSeed} says where they begin. The seeds that are played by default have a kept
     * {@link BehaviourDigest} under {@code kind}. A seed that fails is kept as a trace.
     *
     * @param usually how many seeds are played by default
     * @param scenario draws the trace of a seed
     */
    static Stream<DynamicTest> play(String kind, int usually, LongFunction<List<String>> scenario) {
        int seeds = Integer.getInteger("havenford.seeds", USUAL_SCALE) * usually / USUAL_SCALE;
        long first = Long.getLong("havenford.firstSeed", 1);
        return Stream.iterate(first, seed -> seed + 1)
                .limit(seeds)
                .map(seed -> DynamicTest.dynamicTest("seed " + seed, () -> {
                    TracePlayer.Result result = playTrace(scenario.apply(seed));
                    if (seed >= 1 && seed <= usually) {
                        result.world().behaviour.assertKept(kind + "/" + seed);
                    }
                }));
    }

    private static TracePlayer.Result playTrace(List<String> lines) {
        TracePlayer.Result result = TracePlayer.play(lines);
        assertEquals(List.of(), result.violations(), () -> String.join("\n", lines) + "\n--\n" + result.log());
        return result;
    }
}
