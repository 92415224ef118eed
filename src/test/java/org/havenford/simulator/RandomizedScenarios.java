package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;

/** Runs traces whose jobs and faults are drawn from a seed. The same seed gives the same trace. */
final class RandomizedScenarios {
    /** The default of {@code havenford.seeds}, with which each kind of scenario runs its default number of seeds. */
    private static final int DEFAULT_SCALE = 12;

    private RandomizedScenarios() {}

    /**
     * Returns a test for each of a number of consecutive seeds. The system property {@code havenford.seeds} (12 by default)
     * scales the number of seeds of every kind of scenario; {@code havenford.firstSeed} sets the first seed. For the default
     * seeds, the run is compared with the stored {@link BehaviourDigest} named {@code kind/seed}. A failure message contains
     * the trace; a failing seed is to be added to the traces in src/test/resources/traces.
     *
     * @param defaultSeeds the number of seeds that run by default
     * @param scenario draws the trace of a seed
     */
    static Stream<DynamicTest> play(String kind, int defaultSeeds, LongFunction<List<String>> scenario) {
        int seeds = Integer.getInteger("havenford.seeds", DEFAULT_SCALE) * defaultSeeds / DEFAULT_SCALE;
        long first = Long.getLong("havenford.firstSeed", 1);
        return Stream.iterate(first, seed -> seed + 1)
                .limit(seeds)
                .map(seed -> DynamicTest.dynamicTest("seed " + seed, () -> {
                    TracePlayer.Result result = assertNoViolations(scenario.apply(seed));
                    if (seed >= 1 && seed <= defaultSeeds) {
                        result.simulator().behaviour.assertMatchesStored(kind + "/" + seed);
                    }
                }));
    }

    /** Returns a test for each of a number of consecutive seeds, whose runs are compared with no stored digest. */
    static Stream<DynamicTest> play(long first, long seeds, LongFunction<List<String>> scenario) {
        return LongStream.range(first, first + seeds)
                .mapToObj(seed ->
                        DynamicTest.dynamicTest("seed " + seed, () -> assertNoViolations(scenario.apply(seed))));
    }

    /** Plays a trace and asserts that it violates no invariant and no expectation. */
    static TracePlayer.Result assertNoViolations(List<String> lines) {
        TracePlayer.Result result = TracePlayer.play(lines);
        assertEquals(List.of(), result.violations(), () -> String.join("\n", lines) + "\n--\n" + result.log());
        return result;
    }
}
