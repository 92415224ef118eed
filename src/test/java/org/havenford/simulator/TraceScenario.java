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

/** A trace as it was read: the cluster that it describes, what happens in it, and what is expected at its end. */
final class TraceScenario {
    /** What happens in a run, in the order of the lines. */
    sealed interface Step permits Machine, TimedCommand {}

    /** A machine that runs from the beginning. */
    record Machine(String type, String zone, boolean spot) implements Step {}

    /** A command at a moment of the simulated time. */
    record TimedCommand(double second, String name, TraceArguments arguments) implements Step {}

    /** What has to hold when the run is over. */
    record Expectation(String name, TraceArguments arguments) {}

    private static final Map<String, BiConsumer<TraceScenario, TraceArguments>> LINES = lines();
    /** Commands that users send in the normal course; all others make trouble. */
    private static final Set<String> COMMANDS_OF_USERS = Set.of("submit", "cancel", "ask", "repeat");

    private final List<String> teams = new ArrayList<>();
    private long seed = 1;
    private int nodes = SimulatorSettings.DEFAULT_NODES;
    private double end = 120;
    private boolean previousFormat;
    private String store = SimulatorSettings.DEFAULT_STORE;
    private final List<Step> steps = new ArrayList<>();
    private final List<Expectation> expectations = new ArrayList<>();

    /** Whether the controllers have a warm standby. */
    boolean standby;
    /** Controllers without a standby although the others have one. */
    final Set<String> withoutStandby = new HashSet<>();
    /** How many changes the store keeps for watches that begin in the past. */
    int keptChanges = 10_000;
    /** How many machines of a type and zone the cloud has; 0 for its default. */
    int machinesPerOffer;

    private TraceScenario() {}

    /**
     * Reads the lines of a trace.
     *
     * @throws IllegalArgumentException if a line begins with an unknown word or has a number in a wrong form
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

    /** What each kind of line means, by the word that it begins with. */
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

    /** The teams as elements of a JSON list. */
    String teams() {
        return String.join(",", teams);
    }

    /** The limits of the state service as JSON, with the announced lower ones if the trace has any. */
    String store() {
        return store;
    }

    /** Whether the controllers begin with the version before, which writes the first format. */
    boolean startsWithPreviousFormat() {
        return previousFormat;
    }

    /** The second of the simulated time at which the run ends. */
    double end() {
        return end;
    }

    List<Step> steps() {
        return steps;
    }

    List<Expectation> expectations() {
        return expectations;
    }

    /** When the last command comes that is not a user's; the epoch if there is none. */
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
