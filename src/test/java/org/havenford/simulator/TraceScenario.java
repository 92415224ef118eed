package org.havenford.simulator;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/** A parsed trace: the configuration of the cluster, the steps of the run, and the expectations about its end. */
final class TraceScenario {
    /** A step of a run. Steps with the same time run in the order of their lines. */
    sealed interface Step permits Machine, TimedCommand {}

    /** A machine that boots at the start of the run. */
    record Machine(String type, String zone, boolean spot) implements Step {}

    /** A command that runs at a time given in seconds of the simulated time. */
    record TimedCommand(double second, String name, TraceArguments arguments) implements Step {}

    /** A condition that has to hold at the end of the run. */
    record Expectation(String name, TraceArguments arguments) {}

    private static final Map<String, BiConsumer<TraceScenario, TraceArguments>> LINES = lines();
    /** Regular requests of users. All other commands count as faults, see {@link #lastTrouble()}. */
    private static final Set<String> COMMANDS_OF_USERS = Set.of("submit", "cancel", "ask", "repeat");

    private final List<String> teams = new ArrayList<>();
    private long seed = 1;
    private int nodes = SimulatorSettings.DEFAULT_NODES;
    private double end = 120;
    private boolean previousFormat;
    private String store = SimulatorSettings.DEFAULT_STORE;
    private final List<Step> steps = new ArrayList<>();
    private final List<Expectation> expectations = new ArrayList<>();

    /** Whether the controllers run a warm standby. */
    boolean standby;
    /** Controllers that run without a warm standby although {@link #standby} is set. */
    final Set<String> withoutStandby = new HashSet<>();
    /** The number of changes that the store keeps for watches that start at an earlier revision. */
    int keptChanges = 10_000;
    /** The number of machines that the cloud has of each type, zone and kind (spot or on-demand); 0 for the default. */
    int machinesPerOffer;

    private TraceScenario() {}

    /**
     * Parses the lines of a trace.
     *
     * @throws IllegalArgumentException if a line starts with an unknown word or contains a malformed number
     */
    static TraceScenario parse(List<String> lines) {
        TraceScenario scenario = new TraceScenario();
        for (String raw : lines) {
            String line = raw.replaceFirst("#.*", "").strip();
            if (!line.isEmpty()) {
                scenario.parseLine(line);
            }
        }
        return scenario;
    }

    private void parseLine(String line) {
        List<String> words = List.of(line.split("\\s+"));
        BiConsumer<TraceScenario, TraceArguments> parser = LINES.get(words.get(0));
        if (parser == null) {
            throw new IllegalArgumentException(line);
        }
        parser.accept(this, new TraceArguments(words.subList(1, words.size())));
    }

    /** Returns the parser of each kind of line, by the first word of the line. */
    private static Map<String, BiConsumer<TraceScenario, TraceArguments>> lines() {
        Map<String, BiConsumer<TraceScenario, TraceArguments>> lines = new HashMap<>();
        lines.put("next", TraceScenario::announceLowerLimits);
        lines.put("standby", (scenario, words) -> scenario.standby = words.isOn(0));
        lines.put("standby-off", (scenario, words) -> scenario.withoutStandby.add(words.word(0)));
        lines.put(
                "version",
                (scenario, words) -> scenario.previousFormat = words.word(0).equals("format-1"));
        lines.put("per-offer", (scenario, words) -> scenario.machinesPerOffer = words.integer(0));
        lines.put("keep-changes", (scenario, words) -> scenario.keptChanges = words.integer(0));
        lines.put("nodes", (scenario, words) -> scenario.nodes = words.integer(0));
        lines.put("seed", (scenario, words) -> scenario.seed = Long.parseLong(words.word(0)));
        lines.put("team", TraceScenario::addTeam);
        lines.put("machine", TraceScenario::addMachine);
        lines.put("at", TraceScenario::addCommand);
        lines.put("until", (scenario, words) -> scenario.end = words.decimal(0));
        lines.put("expect", TraceScenario::addExpectation);
        return lines;
    }

    private void announceLowerLimits(TraceArguments words) {
        String next = String.format(
                ",\"next\":{\"value_kb\":%s,\"txn_ops\":%s,\"write_rps\":%s}}",
                words.word(0), words.word(1), words.word(2));
        store = SimulatorSettings.DEFAULT_STORE.replace("}", next);
    }

    private void addTeam(TraceArguments words) {
        teams.add(String.format(
                "{\"name\":\"%s\",\"cpus\":%s,\"cpus_max\":%s}", words.word(0), words.word(1), words.word(2)));
    }

    private void addMachine(TraceArguments words) {
        steps.add(new Machine(words.word(0), words.word(1), words.word(2).equals("spot")));
    }

    private void addCommand(TraceArguments words) {
        steps.add(new TimedCommand(words.decimal(0), words.word(1), new TraceArguments(words.from(2))));
    }

    private void addExpectation(TraceArguments words) {
        expectations.add(new Expectation(words.word(0), new TraceArguments(words.from(1))));
    }

    long seed() {
        return seed;
    }

    int nodes() {
        return nodes;
    }

    /** Returns the teams as the comma-separated elements of a JSON array. */
    String teams() {
        return String.join(",", teams);
    }

    /**
     * Returns the limits of the state service as a JSON object, including the announced lower limits if the trace has any.
     */
    String store() {
        return store;
    }

    /** Returns whether the controllers start with the previous version, which writes storage format 1. */
    boolean startsWithPreviousFormat() {
        return previousFormat;
    }

    /** Returns the simulated time in seconds at which the run ends. */
    double end() {
        return end;
    }

    List<Step> steps() {
        return steps;
    }

    List<Expectation> expectations() {
        return expectations;
    }

    /** Returns the time of the last command that is not a regular user request, or the epoch if there is none. */
    Instant lastTrouble() {
        Instant last = Instant.EPOCH;
        for (Step step : steps) {
            if (step instanceof TimedCommand command && !COMMANDS_OF_USERS.contains(command.name())) {
                Instant at = Instant.EPOCH.plus(Duration.ofMillis((long) (command.second() * 1000)));
                last = at.isAfter(last) ? at : last;
            }
        }
        return last;
    }
}
