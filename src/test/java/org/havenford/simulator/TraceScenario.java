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

    private static final Map<String, BiConsumer<TraceScenario, TraceArguments>> LINE_PARSERS = lineParsers();
    /** Regular requests of users. All other commands count as faults, see {@link #lastFault()}. */
    private static final Set<String> USER_COMMANDS = Set.of("submit", "cancel", "ask", "repeat");

    private final List<String> teams = new ArrayList<>();
    private long seed = 1;
    private int nodes = SimulatorSettings.DEFAULT_NODES;
    private double end = 120;
    private boolean previousFormat;
    private String store = SimulatorSettings.DEFAULT_STORE;
    private String agents = SimulatorSettings.DEFAULT_AGENTS;
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
        BiConsumer<TraceScenario, TraceArguments> parser = LINE_PARSERS.get(words.get(0));
        if (parser == null) {
            throw new IllegalArgumentException(line);
        }
        parser.accept(this, new TraceArguments(words.subList(1, words.size())));
    }

    /** Returns the parser of each kind of line, by the first word of the line. */
    private static Map<String, BiConsumer<TraceScenario, TraceArguments>> lineParsers() {
        Map<String, BiConsumer<TraceScenario, TraceArguments>> parsers = new HashMap<>();
        parsers.put("next", TraceScenario::announceLowerLimits);
        parsers.put("agents", TraceScenario::setAgentLimits);
        parsers.put("standby", (scenario, args) -> scenario.standby = args.isOn(0));
        parsers.put("standby-off", (scenario, args) -> scenario.withoutStandby.add(args.word(0)));
        parsers.put(
                "version",
                (scenario, args) -> scenario.previousFormat = args.word(0).equals("format-1"));
        parsers.put("per-offer", (scenario, args) -> scenario.machinesPerOffer = args.integer(0));
        parsers.put("keep-changes", (scenario, args) -> scenario.keptChanges = args.integer(0));
        parsers.put("nodes", (scenario, args) -> scenario.nodes = args.integer(0));
        parsers.put("seed", (scenario, args) -> scenario.seed = Long.parseLong(args.word(0)));
        parsers.put("team", TraceScenario::addTeam);
        parsers.put("machine", TraceScenario::addMachine);
        parsers.put("at", TraceScenario::addCommand);
        parsers.put("until", (scenario, args) -> scenario.end = args.decimal(0));
        parsers.put("expect", TraceScenario::addExpectation);
        return parsers;
    }

    private void announceLowerLimits(TraceArguments args) {
        String next = String.format(
                ",\"next\":{\"value_kb\":%s,\"txn_ops\":%s,\"write_rps\":%s}}",
                args.word(0), args.word(1), args.word(2));
        store = SimulatorSettings.DEFAULT_STORE.replace("}", next);
    }

    private void setAgentLimits(TraceArguments args) {
        agents = String.format(
                "{\"report_s\":%s,\"lease_s\":%s,\"cancel_s\":%s}", args.word(0), args.word(1), args.word(2));
    }

    private void addTeam(TraceArguments args) {
        teams.add(String.format(
                "{\"name\":\"%s\",\"cpus\":%s,\"cpus_max\":%s}", args.word(0), args.word(1), args.word(2)));
    }

    private void addMachine(TraceArguments args) {
        steps.add(new Machine(args.word(0), args.word(1), args.word(2).equals("spot")));
    }

    private void addCommand(TraceArguments args) {
        steps.add(new TimedCommand(args.decimal(0), args.word(1), new TraceArguments(args.from(2))));
    }

    private void addExpectation(TraceArguments args) {
        expectations.add(new Expectation(args.word(0), new TraceArguments(args.from(1))));
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

    /** Returns the intervals and limits that apply to agents as a JSON object. */
    String agents() {
        return agents;
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
    Instant lastFault() {
        Instant last = Instant.EPOCH;
        for (Step step : steps) {
            if (step instanceof TimedCommand command && !USER_COMMANDS.contains(command.name())) {
                Instant at = Instant.EPOCH.plus(Duration.ofMillis((long) (command.second() * 1000)));
                last = at.isAfter(last) ? at : last;
            }
        }
        return last;
    }
}
