package org.havenford.simulator;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The commands of the trace language by name: user requests, faults of each part of the cluster, and forged events. */
final class TraceCommands {
    /** The implementation of a command, called with the words that follow its name on the line. */
    @FunctionalInterface
    private interface Command {
        void run(ClusterSimulator simulator, TraceArguments args);
    }

    private static final Map<String, Command> COMMANDS = commands();
    private static final String SUBMIT = "submit";
    private static final String HOST_PREFIX = "host-";
    /** An attempt number above every attempt number that a controller assigns in a trace. */
    private static final int FORGED_ATTEMPT = 99;

    private TraceCommands() {}

    /**
     * Runs a command at the current simulated time and, unless it is a submission, adds it to the log of the run.
     *
     * @throws IllegalArgumentException if there is no such command
     */
    static void run(ClusterSimulator simulator, String name, TraceArguments args) {
        if (!name.equals(SUBMIT)) {
            simulator.logLine(args.words().isEmpty() ? name : name + " " + args.text());
        }
        Command command = COMMANDS.get(name);
        if (command == null) {
            throw new IllegalArgumentException(name);
        }
        command.run(simulator, args);
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new HashMap<>();
        addUserCommands(commands);
        addControllerCommands(commands);
        addConnectionCommands(commands);
        addMessageCommands(commands);
        addStoreCommands(commands);
        addCloudCommands(commands);
        addAgentCommands(commands);
        addForgeryCommands(commands);
        return commands;
    }

    private static void addUserCommands(Map<String, Command> commands) {
        commands.put(SUBMIT, TraceCommands::submit);
        commands.put("cancel", (simulator, args) -> simulator.users.cancel(args.word(0), args.optionalWord(1)));
        commands.put("ask", (simulator, args) -> simulator.users.query(args.word(0)));
        commands.put("repeat", (simulator, args) -> simulator.users.resubmit(args.word(0)));
        commands.put("polls-as-often", (simulator, args) -> simulator.users.pollRateFactor = args.integer(0));
        commands.put("close-looks", (simulator, args) -> simulator.users.queriesAllControllers = args.isOn(0));
    }

    /**
     * Submits a job. The arguments are job id, team, number of tasks, CPUs per task, run time of a task in seconds, and
     * options.
     */
    private static void submit(ClusterSimulator simulator, TraceArguments args) {
        simulator.users.submit(
                args.word(0), args.word(1), args.integer(2), args.decimal(3), args.decimal(4), args.from(5));
    }

    private static void addControllerCommands(Map<String, Command> commands) {
        commands.put("crash", (simulator, args) -> {
            simulator.invariants.controllerCrashed(args.word(0));
            simulator.controllers.get(args.word(0)).crash();
        });
        commands.put(
                "start",
                (simulator, args) -> simulator.controllers.get(args.word(0)).start());
        commands.put(
                "upgrade",
                (simulator, args) -> simulator.controllers.get(args.word(0)).upgrade());
        commands.put(
                "freeze",
                (simulator, args) -> simulator.controllers.get(args.word(0)).pauseProcess());
        commands.put(
                "thaw",
                (simulator, args) -> simulator.controllers.get(args.word(0)).resumeProcess());
        commands.put("tokens-renewed", (simulator, args) -> simulator.invariants.checkTakeover());
    }

    private static void addConnectionCommands(Map<String, Command> commands) {
        commands.put("cut-peer", (simulator, args) -> simulator.peerNetwork.oneWayCuts.add(direction(args)));
        commands.put("heal-peer", (simulator, args) -> simulator.peerNetwork.oneWayCuts.remove(direction(args)));
        commands.put(
                "cut",
                (simulator, args) -> simulator.network.faults.cut(
                        address(simulator, args, 0), address(simulator, args, 1), parseCut(args, 2)));
        commands.put(
                "heal",
                (simulator, args) ->
                        simulator.network.faults.heal(address(simulator, args, 0), address(simulator, args, 1)));
        commands.put(
                "cut-zone", (simulator, args) -> simulator.network.faults.cutZone(args.word(0), parseCut(args, 1)));
        commands.put("heal-zone", (simulator, args) -> simulator.network.faults.healZone(args.word(0)));
        commands.put("unreach", (simulator, args) -> partitionFromAllAgents(simulator, args, NetworkFaults.Cut.DROP));
        commands.put(
                "reset-workers", (simulator, args) -> partitionFromAllAgents(simulator, args, NetworkFaults.Cut.RESET));
        commands.put("reach", (simulator, args) -> simulator
                .agents
                .values()
                .forEach(agent ->
                        simulator.network.faults.heal(address(simulator, args, 0), address(simulator, agent.name))));
        commands.put(
                "refuse", (simulator, args) -> simulator.network.faults.refuseByStore(address(simulator, args, 0)));
        commands.put("serve", (simulator, args) -> simulator.network.faults.serveByStore(address(simulator, args, 0)));
    }

    private static void partitionFromAllAgents(ClusterSimulator simulator, TraceArguments args, NetworkFaults.Cut cut) {
        simulator
                .agents
                .values()
                .forEach(agent ->
                        simulator.network.faults.cut(address(simulator, args, 0), address(simulator, agent.name), cut));
    }

    private static void addMessageCommands(Map<String, Command> commands) {
        commands.put(
                "repeats",
                (simulator, args) ->
                        simulator.network.faults.duplicatedPosts.put(address(simulator, args, 0), args.seconds(1)));
        commands.put(
                "no-repeats",
                (simulator, args) -> simulator.network.faults.duplicatedPosts.remove(address(simulator, args, 0)));
        commands.put(
                "copies",
                (simulator, args) -> simulator.network.faults.duplicatedHeartbeats.put(
                        address(simulator, args, 0), args.seconds(1)));
        commands.put(
                "no-copies",
                (simulator, args) -> simulator.network.faults.duplicatedHeartbeats.remove(address(simulator, args, 0)));
        commands.put(
                "copied-commands",
                (simulator, args) ->
                        simulator.network.faults.duplicatedCommands.put(address(simulator, args, 0), args.seconds(1)));
        commands.put("mute", (simulator, args) -> simulator.network.faults.mute.add(address(simulator, args, 0)));
        commands.put("speaks", (simulator, args) -> simulator.network.faults.mute.remove(address(simulator, args, 0)));
        commands.put("deaf", (simulator, args) -> simulator.network.faults.deaf.add(address(simulator, args, 0)));
        commands.put("hears", (simulator, args) -> simulator.network.faults.deaf.remove(address(simulator, args, 0)));
        commands.put(
                "slow-links",
                (simulator, args) -> simulator.network.faults.extraLatencyMillis =
                        (int) args.seconds(0).toMillis());
        commands.put("slow-calls", (simulator, args) -> {
            simulator.network.faults.slowCallsLeft.put(address(simulator, args, 0), args.integer(1));
            simulator.network.faults.slowCalls.put(address(simulator, args, 0), args.seconds(2));
        });
        commands.put(
                "late-commands",
                (simulator, args) ->
                        simulator.network.faults.commandDelays.put(address(simulator, args, 0), args.seconds(1)));
        commands.put(
                "late-changes",
                (simulator, args) ->
                        simulator.network.faults.watchReplyDelays.put(address(simulator, args, 0), args.seconds(1)));
    }

    private static void addStoreCommands(Map<String, Command> commands) {
        commands.put("outage", (simulator, args) -> {
            if (args.isOn(0)) {
                simulator.store.outage = true;
            } else {
                simulator.store.endOutage();
            }
        });
        commands.put("lower-limits", (simulator, args) -> simulator.store.lowerLimits());
        commands.put("lower-limits-refusing", (simulator, args) -> {
            simulator.store.lowerLimits();
            simulator.store.rejectsTooLarge = true;
        });
        commands.put("lost-answers", (simulator, args) -> simulator.store.unansweredTransactions = args.integer(0));
        commands.put("late-txns", (simulator, args) -> {
            simulator.store.lateTransactions = args.integer(0);
            simulator.store.lateTransactionDelay = args.seconds(1);
        });
    }

    private static void addCloudCommands(Map<String, Command> commands) {
        commands.put("dark-zone", (simulator, args) -> simulator.cloud.zonesWithoutBoot.add(args.word(0)));
        commands.put("lit-zone", (simulator, args) -> simulator.cloud.zonesWithoutBoot.remove(args.word(0)));
        commands.put("boots", (simulator, args) -> simulator.cloud.bootTime = args.seconds(0));
        commands.put("boots-usually", (simulator, args) -> simulator.cloud.bootTime = null);
        commands.put("late-cloud-requests", (simulator, args) -> {
            simulator.cloud.lateRequests = args.integer(0);
            simulator.cloud.lateRequestDelay = args.seconds(1);
        });
        commands.put("cloud-outage", (simulator, args) -> simulator.cloud.outage = args.isOn(0));
        commands.put("take", (simulator, args) -> simulator.cloud.terminate(args.word(0)));
    }

    private static void addAgentCommands(Map<String, Command> commands) {
        commands.put("reboot", (simulator, args) -> agent(simulator, args).reboot());
        commands.put("reboot-blank", (simulator, args) -> agent(simulator, args).rebootWithoutMemory());
        commands.put("restart-same-session", (simulator, args) -> agent(simulator, args)
                .restartWithinIncarnation());
        commands.put("hang", (simulator, args) -> agent(simulator, args).hang(true));
        commands.put("wake", (simulator, args) -> agent(simulator, args).hang(false));
        commands.put("faulty", (simulator, args) -> agent(simulator, args).faulty = true);
        commands.put("slow-fetch", (simulator, args) -> agent(simulator, args).pullSlowdown = args.decimal(1));
        commands.put("check-claims", (simulator, args) -> simulator.invariants.checksClaims = args.isOn(0));
        commands.put("notice", (simulator, args) -> agent(simulator, args).spotNoticeSeconds = args.decimal(1));
    }

    /**
     * Adds commands that imitate a defective controller, with which tests verify that {@link InvariantChecker} detects
     * violations.
     */
    private static void addForgeryCommands(Map<String, Command> commands) {
        commands.put("forge-zone", (simulator, args) -> simulator.store.forgeZone(args.word(0), args.word(1)));
        commands.put("forge-cancelled", (simulator, args) -> {
            simulator.users.cancelRequested.add(args.word(0));
            simulator.users.jobs.get(args.word(0)).cancelConfirmedAt = simulator.now;
        });
        commands.put("forge-start", TraceCommands::forgeStart);
    }

    private static void forgeStart(ClusterSimulator simulator, TraceArguments args) {
        SimulatedAgent.Attempt attempt = new SimulatedAgent.Attempt();
        attempt.taskId = args.word(1);
        attempt.attempt = FORGED_ATTEMPT;
        attempt.status = "running";
        agent(simulator, args).tasks.put(attempt.taskId + "#" + FORGED_ATTEMPT, attempt);
        simulator.invariants.taskStarted(agent(simulator, args), attempt);
    }

    private static SimulatedAgent agent(ClusterSimulator simulator, TraceArguments args) {
        return simulator.agents.get(args.word(0));
    }

    private static String direction(TraceArguments args) {
        return args.word(0) + ">" + args.word(1);
    }

    private static NetworkFaults.Cut parseCut(TraceArguments args, int index) {
        return NetworkFaults.Cut.valueOf(args.word(index).toUpperCase(Locale.ROOT));
    }

    private static String address(ClusterSimulator simulator, TraceArguments args, int index) {
        return address(simulator, args.word(index));
    }

    /**
     * Returns the network address of a controller, a machine, the users, or a service that the trace names without its
     * port.
     */
    private static String address(ClusterSimulator simulator, String name) {
        if (simulator.controllers.containsKey(name)) {
            return simulator.controllers.get(name).settings.bind();
        }
        if (name.startsWith(HOST_PREFIX)) {
            return name + ":9000";
        }
        return name.equals("users") ? name : name + ":1";
    }
}
