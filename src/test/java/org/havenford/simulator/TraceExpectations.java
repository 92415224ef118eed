package org.havenford.simulator;

import com.google.gson.JsonObject;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.BiPredicate;

/** The expectations that a trace can state about the end of its run, by name. */
final class TraceExpectations {
    /** Checked by {@link InvariantChecker#endOfDay} before all other expectations, so its predicate here is always true. */
    private static final String SERVED = "served";

    private static final Map<String, BiPredicate<ClusterSimulator, TraceArguments>> RULES = rules();
    /** For expectations about a count, the text that reports the actual count. */
    private static final Map<String, BiFunction<ClusterSimulator, TraceArguments, String>> COUNTS = counts();

    private TraceExpectations() {}

    /** Returns whether the expectation is {@code served}: no class, no team and no class's largest jobs starve. */
    static boolean isThatAllAreServed(TraceScenario.Expectation expectation) {
        return expectation.name().equals(SERVED);
    }

    /**
     * Returns a description of the violation if the expectation does not hold.
     *
     * @throws IllegalArgumentException if there is no such expectation
     */
    static Optional<String> violation(ClusterSimulator world, TraceScenario.Expectation expectation) {
        String name = expectation.name();
        TraceArguments arguments = expectation.arguments();
        String line = name + " " + arguments.text();
        BiPredicate<ClusterSimulator, TraceArguments> rule = RULES.get(name);
        if (rule == null) {
            throw new IllegalArgumentException("expect " + line);
        }
        if (rule.test(world, arguments)) {
            return Optional.empty();
        }
        String count = COUNTS.getOrDefault(name, (cluster, words) -> "").apply(world, arguments);
        return Optional.of("expected: " + line + count);
    }

    private static Map<String, BiPredicate<ClusterSimulator, TraceArguments>> rules() {
        Map<String, BiPredicate<ClusterSimulator, TraceArguments>> rules = new HashMap<>();
        rules.put(SERVED, (world, words) -> true);
        addJobs(rules);
        addMachines(rules);
        addStore(rules);
        addRun(rules);
        return rules;
    }

    private static void addJobs(Map<String, BiPredicate<ClusterSimulator, TraceArguments>> rules) {
        rules.put("done", (world, words) -> job(world, words).doneTold != null);
        rules.put("cancelled", (world, words) -> job(world, words).cancelTold != null);
        rules.put("taken-along", (world, words) -> job(world, words).takenAlong != null);
        rules.put("done-by", (world, words) -> {
            Instant done = job(world, words).doneTold;
            return done != null && !done.isAfter(moment(words, 1));
        });
        rules.put("starts-at-most", (world, words) -> world.rules.starts(words.word(0)) <= words.integer(1));
        rules.put("starts", (world, words) -> world.rules.starts == words.integer(0));
        rules.put("late-starts", (world, words) -> world.rules.startsAfterCancel <= words.integer(0));
    }

    private static void addMachines(Map<String, BiPredicate<ClusterSimulator, TraceArguments>> rules) {
        rules.put("kept", (world, words) -> isNotBefore(world.cloud.returned, words));
        rules.put("first-rented", (world, words) -> isNotBefore(world.cloud.firstRented, words));
        rules.put("rented-at-most", (world, words) -> world.cloud.rented <= words.integer(0));
        rules.put("gone", (world, words) -> world.cloud.gone.contains(words.word(0)));
    }

    private static void addStore(Map<String, BiPredicate<ClusterSimulator, TraceArguments>> rules) {
        rules.put("no-key", (world, words) -> world.store.values.keySet().stream()
                .noneMatch(key -> key.startsWith(words.text())));
        rules.put("epochs", (world, words) -> view(world).get("epoch").getAsInt() <= words.integer(0));
        rules.put(
                "resting",
                (world, words) -> view(world).getAsJsonArray("resting").size() == words.integer(0));
        rules.put("read-again", (world, words) -> world.store.watches.rejectedTooOld >= words.integer(0));
        rules.put("too-large", (world, words) -> world.store.rejectedTooLarge <= words.integer(0));
        rules.put("calls-at-most", (world, words) -> world.store.requests <= words.integer(0));
        rules.put("evictions", (world, words) -> world.store.evictions == words.integer(0));
        rules.put("evictions-at-least", (world, words) -> world.store.evictions >= words.integer(0));
    }

    private static void addRun(Map<String, BiPredicate<ClusterSimulator, TraceArguments>> rules) {
        rules.put("log", (world, words) -> world.log.stream().anyMatch(line -> line.contains(words.text())));
        rules.put("no-log", (world, words) -> world.log.stream().noneMatch(line -> line.contains(words.text())));
        rules.put("broken", (world, words) -> world.rules.broken.stream()
                .anyMatch(line -> line.contains(" " + words.word(0) + ": ")));
    }

    private static Map<String, BiFunction<ClusterSimulator, TraceArguments, String>> counts() {
        Map<String, BiFunction<ClusterSimulator, TraceArguments, String>> counts = new HashMap<>();
        counts.put("rented-at-most", (world, words) -> ", rented " + world.cloud.rented);
        counts.put("evictions", (world, words) -> ", evictions " + world.store.evictions);
        counts.put("evictions-at-least", (world, words) -> ", evictions " + world.store.evictions);
        counts.put("calls-at-most", (world, words) -> ", calls " + world.store.requests);
        counts.put("starts-at-most", (world, words) -> ", starts " + world.rules.starts(words.word(0)));
        return counts;
    }

    private static SimulatedUsers.Job job(ClusterSimulator world, TraceArguments words) {
        return world.users.jobs.get(words.word(0));
    }

    private static JsonObject view(ClusterSimulator world) {
        return world.store.value("live/view").getAsJsonObject();
    }

    private static Instant moment(TraceArguments words, int index) {
        return Instant.EPOCH.plusSeconds(Long.parseLong(words.word(index)));
    }

    /**
     * Returns whether the event named by the first argument occurred at or after the second argument's time, or never
     * occurred.
     */
    private static boolean isNotBefore(Map<String, Instant> happened, TraceArguments words) {
        return !happened.getOrDefault(words.word(0), Instant.MAX).isBefore(moment(words, 1));
    }
}
