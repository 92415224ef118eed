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
    /**
     * Checked by {@link InvariantChecker#checkFairness} before all other expectations, so its predicate here is always
     * true.
     */
    private static final String NO_STARVATION = "served";

    private static final Map<String, BiPredicate<ClusterSimulator, TraceArguments>> PREDICATES = predicates();
    /** For expectations about a count, the text that reports the actual count. */
    private static final Map<String, BiFunction<ClusterSimulator, TraceArguments, String>> ACTUAL_COUNTS =
            actualCounts();

    private TraceExpectations() {}

    /** Returns whether the expectation is {@code served}: no class, no team and no class's largest jobs starve. */
    static boolean requiresNoStarvation(TraceScenario.Expectation expectation) {
        return expectation.name().equals(NO_STARVATION);
    }

    /**
     * Returns a description of the violation if the expectation does not hold.
     *
     * @throws IllegalArgumentException if there is no such expectation
     */
    static Optional<String> violation(ClusterSimulator simulator, TraceScenario.Expectation expectation) {
        String name = expectation.name();
        TraceArguments args = expectation.arguments();
        String line = name + " " + args.text();
        BiPredicate<ClusterSimulator, TraceArguments> predicate = PREDICATES.get(name);
        if (predicate == null) {
            throw new IllegalArgumentException("expect " + line);
        }
        if (predicate.test(simulator, args)) {
            return Optional.empty();
        }
        String count = ACTUAL_COUNTS.getOrDefault(name, (cluster, words) -> "").apply(simulator, args);
        return Optional.of("expected: " + line + count);
    }

    private static Map<String, BiPredicate<ClusterSimulator, TraceArguments>> predicates() {
        Map<String, BiPredicate<ClusterSimulator, TraceArguments>> predicates = new HashMap<>();
        predicates.put(NO_STARVATION, (simulator, args) -> true);
        addJobPredicates(predicates);
        addMachinePredicates(predicates);
        addStorePredicates(predicates);
        addRunPredicates(predicates);
        return predicates;
    }

    private static void addJobPredicates(Map<String, BiPredicate<ClusterSimulator, TraceArguments>> predicates) {
        predicates.put("done", (simulator, args) -> job(simulator, args).reportedDoneAt != null);
        predicates.put("cancelled", (simulator, args) -> job(simulator, args).cancelConfirmedAt != null);
        predicates.put("taken-along", (simulator, args) -> job(simulator, args).reportedCancelledAt != null);
        predicates.put("done-by", (simulator, args) -> {
            Instant done = job(simulator, args).reportedDoneAt;
            return done != null && !done.isAfter(timeArgument(args, 1));
        });
        predicates.put(
                "starts-at-most", (simulator, args) -> simulator.invariants.starts(args.word(0)) <= args.integer(1));
        predicates.put("starts", (simulator, args) -> simulator.invariants.starts == args.integer(0));
        predicates.put("late-starts", (simulator, args) -> simulator.invariants.startsAfterCancel <= args.integer(0));
    }

    private static void addMachinePredicates(Map<String, BiPredicate<ClusterSimulator, TraceArguments>> predicates) {
        predicates.put("kept", (simulator, args) -> occurredAtOrAfter(simulator.cloud.returned, args));
        predicates.put("first-rented", (simulator, args) -> occurredAtOrAfter(simulator.cloud.firstLaunchTimes, args));
        predicates.put("rented-at-most", (simulator, args) -> simulator.cloud.launchedMachines <= args.integer(0));
        predicates.put("gone", (simulator, args) -> simulator.cloud.terminated.contains(args.word(0)));
    }

    private static void addStorePredicates(Map<String, BiPredicate<ClusterSimulator, TraceArguments>> predicates) {
        predicates.put("no-key", (simulator, args) -> simulator.store.values.keySet().stream()
                .noneMatch(key -> key.startsWith(args.text())));
        predicates.put(
                "epochs",
                (simulator, args) -> storedView(simulator).get("epoch").getAsInt() <= args.integer(0));
        predicates.put(
                "resting",
                (simulator, args) ->
                        storedView(simulator).getAsJsonArray("resting").size() == args.integer(0));
        predicates.put("read-again", (simulator, args) -> simulator.store.watches.rejectedTooOld >= args.integer(0));
        predicates.put("too-large", (simulator, args) -> simulator.store.rejectedTooLarge <= args.integer(0));
        predicates.put("calls-at-most", (simulator, args) -> simulator.store.requests <= args.integer(0));
        predicates.put("evictions", (simulator, args) -> simulator.store.evictions == args.integer(0));
        predicates.put("evictions-at-least", (simulator, args) -> simulator.store.evictions >= args.integer(0));
    }

    private static void addRunPredicates(Map<String, BiPredicate<ClusterSimulator, TraceArguments>> predicates) {
        predicates.put("log", (simulator, args) -> simulator.log.stream().anyMatch(line -> line.contains(args.text())));
        predicates.put(
                "no-log", (simulator, args) -> simulator.log.stream().noneMatch(line -> line.contains(args.text())));
        predicates.put("broken", (simulator, args) -> simulator.invariants.violations.stream()
                .anyMatch(line -> line.contains(" " + args.word(0) + ": ")));
    }

    private static Map<String, BiFunction<ClusterSimulator, TraceArguments, String>> actualCounts() {
        Map<String, BiFunction<ClusterSimulator, TraceArguments, String>> actualCounts = new HashMap<>();
        actualCounts.put("rented-at-most", (simulator, args) -> ", rented " + simulator.cloud.launchedMachines);
        actualCounts.put("evictions", (simulator, args) -> ", evictions " + simulator.store.evictions);
        actualCounts.put("evictions-at-least", (simulator, args) -> ", evictions " + simulator.store.evictions);
        actualCounts.put("calls-at-most", (simulator, args) -> ", calls " + simulator.store.requests);
        actualCounts.put(
                "starts-at-most", (simulator, args) -> ", starts " + simulator.invariants.starts(args.word(0)));
        return actualCounts;
    }

    private static SimulatedUsers.Job job(ClusterSimulator simulator, TraceArguments args) {
        return simulator.users.jobs.get(args.word(0));
    }

    private static JsonObject storedView(ClusterSimulator simulator) {
        return simulator.store.value("live/view").getAsJsonObject();
    }

    private static Instant timeArgument(TraceArguments args, int index) {
        return Instant.EPOCH.plusSeconds(Long.parseLong(args.word(index)));
    }

    /**
     * Returns whether the event named by the first argument occurred at or after the second argument's time, or never
     * occurred.
     */
    private static boolean occurredAtOrAfter(Map<String, Instant> occurrences, TraceArguments args) {
        return !occurrences.getOrDefault(args.word(0), Instant.MAX).isBefore(timeArgument(args, 1));
    }
}
