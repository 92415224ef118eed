package org.havenford.simulator;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The commands of the trace language by name: user requests, faults of each part of the cluster, and forged events. */
final class TraceCommands {
    /** The implementation of a command, called with the words that follow its name on the line. */
    @FunctionalInterface
    private interface Command {
        void run(ClusterSimulator world, TraceArguments words);
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
    static void run(ClusterSimulator world, String name, TraceArguments words) {
        if (!name.equals(SUBMIT)) {
            world.note(words.words().isEmpty() ? name : name + " " + words.text());
        }
        Command command = COMMANDS.get(name);
        if (command == null) {
            throw new IllegalArgumentException(name);
        }
        command.run(world, words);
    }

    private static Map<String, Command> commands() {
        Map<String, Command> commands = new HashMap<>();
        addUsers(commands);
        addControllers(commands);
        addConnections(commands);
        addMessages(commands);
        addStore(commands);
        addCloud(commands);
        addAgents(commands);
        addForgeries(commands);
        return commands;
    }

    private static void addUsers(Map<String, Command> commands) {
        commands.put(SUBMIT, TraceCommands::submit);
        commands.put("cancel", (world, words) -> world.users.cancel(words.word(0), words.optionalWord(1)));
        commands.put("ask", (world, words) -> world.users.ask(words.word(0)));
        commands.put("repeat", (world, words) -> world.users.repeat(words.word(0)));
        commands.put("polls-as-often", (world, words) -> world.users.pollRateFactor = words.integer(0));
        commands.put("close-looks", (world, words) -> world.users.looksClosely = words.isOn(0));
    }

    /**
     * Submits a job. The arguments are job id, team, number of tasks, CPUs per task, run time of a task in seconds, and
     * options.
     */
    private static void submit(ClusterSimulator world, TraceArguments words) {
        world.users.submit(
                words.word(0), words.word(1), words.integer(2), words.decimal(3), words.decimal(4), words.from(5));
    }

    private static void addControllers(Map<String, Command> commands) {
        commands.put("crash", (world, words) -> {
            world.rules.crashed(words.word(0));
            world.nodes.get(words.word(0)).crash();
        });
        commands.put("start", (world, words) -> world.nodes.get(words.word(0)).start());
        commands.put("upgrade", (world, words) -> world.nodes.get(words.word(0)).upgrade());
        commands.put("freeze", (world, words) -> world.nodes.get(words.word(0)).freeze());
        commands.put("thaw", (world, words) -> world.nodes.get(words.word(0)).thaw());
        commands.put("tokens-renewed", (world, words) -> world.rules.tokensRenewed());
    }

    private static void addConnections(Map<String, Command> commands) {
        commands.put("cut-peer", (world, words) -> world.peerNetwork.oneWayCuts.add(oneWay(words)));
        commands.put("heal-peer", (world, words) -> world.peerNetwork.oneWayCuts.remove(oneWay(words)));
        commands.put(
                "cut",
                (world, words) ->
                        world.network.faults.cut(address(world, words, 0), address(world, words, 1), cut(words, 2)));
        commands.put(
                "heal",
                (world, words) -> world.network.faults.heal(address(world, words, 0), address(world, words, 1)));
        commands.put("cut-zone", (world, words) -> world.network.faults.cutZone(words.word(0), cut(words, 1)));
        commands.put("heal-zone", (world, words) -> world.network.faults.healZone(words.word(0)));
        commands.put("unreach", (world, words) -> cutFromAllAgents(world, words, NetworkFaults.Cut.DROP));
        commands.put("reset-workers", (world, words) -> cutFromAllAgents(world, words, NetworkFaults.Cut.RESET));
        commands.put("reach", (world, words) -> world.workers
                .values()
                .forEach(agent -> world.network.faults.heal(address(world, words, 0), address(world, agent.name))));
        commands.put("refuse", (world, words) -> world.network.faults.refuse(address(world, words, 0)));
        commands.put("serve", (world, words) -> world.network.faults.serve(address(world, words, 0)));
    }

    private static void cutFromAllAgents(ClusterSimulator world, TraceArguments words, NetworkFaults.Cut cut) {
        world.workers
                .values()
                .forEach(agent -> world.network.faults.cut(address(world, words, 0), address(world, agent.name), cut));
    }

    private static void addMessages(Map<String, Command> commands) {
        commands.put(
                "repeats",
                (world, words) -> world.network.faults.repeats.put(address(world, words, 0), words.seconds(1)));
        commands.put("no-repeats", (world, words) -> world.network.faults.repeats.remove(address(world, words, 0)));
        commands.put(
                "copies",
                (world, words) -> world.network.faults.copies.put(address(world, words, 0), words.seconds(1)));
        commands.put("no-copies", (world, words) -> world.network.faults.copies.remove(address(world, words, 0)));
        commands.put("mute", (world, words) -> world.network.faults.mute.add(address(world, words, 0)));
        commands.put("speaks", (world, words) -> world.network.faults.mute.remove(address(world, words, 0)));
        commands.put("deaf", (world, words) -> world.network.faults.deaf.add(address(world, words, 0)));
        commands.put("hears", (world, words) -> world.network.faults.deaf.remove(address(world, words, 0)));
        commands.put(
                "slow-links",
                (world, words) ->
                        world.network.faults.slowLinks = (int) words.seconds(0).toMillis());
        commands.put("slow-calls", (world, words) -> {
            world.network.faults.slowCallsLeft.put(address(world, words, 0), words.integer(1));
            world.network.faults.slowCalls.put(address(world, words, 0), words.seconds(2));
        });
        commands.put(
                "late-commands",
                (world, words) -> world.network.faults.lateCommands.put(address(world, words, 0), words.seconds(1)));
        commands.put(
                "late-changes",
                (world, words) -> world.network.faults.lateChanges.put(address(world, words, 0), words.seconds(1)));
    }

    private static void addStore(Map<String, Command> commands) {
        commands.put("outage", (world, words) -> {
            if (words.isOn(0)) {
                world.store.outage = true;
            } else {
                world.store.endOutage();
            }
        });
        commands.put("lower-limits", (world, words) -> world.store.lowerLimits());
        commands.put("lower-limits-refusing", (world, words) -> {
            world.store.lowerLimits();
            world.store.rejectsTooLarge = true;
        });
        commands.put("lost-answers", (world, words) -> world.store.lostAnswers = words.integer(0));
        commands.put("late-txns", (world, words) -> {
            world.store.lateTransactions = words.integer(0);
            world.store.lateTransactionDelay = words.seconds(1);
        });
    }

    private static void addCloud(Map<String, Command> commands) {
        commands.put("dark-zone", (world, words) -> world.cloud.darkZones.add(words.word(0)));
        commands.put("lit-zone", (world, words) -> world.cloud.darkZones.remove(words.word(0)));
        commands.put("boots", (world, words) -> world.cloud.bootTime = words.seconds(0));
        commands.put("boots-usually", (world, words) -> world.cloud.bootTime = null);
        commands.put("cloud-outage", (world, words) -> world.cloud.outage = words.isOn(0));
        commands.put("take", (world, words) -> world.cloud.terminate(words.word(0)));
    }

    private static void addAgents(Map<String, Command> commands) {
        commands.put("reboot", (world, words) -> agent(world, words).reboot());
        commands.put("hang", (world, words) -> agent(world, words).hang(true));
        commands.put("wake", (world, words) -> agent(world, words).hang(false));
        commands.put("faulty", (world, words) -> agent(world, words).faulty = true);
        commands.put("slow-fetch", (world, words) -> agent(world, words).slowFetch = words.decimal(1));
        commands.put("notice", (world, words) -> agent(world, words).notice = words.decimal(1));
    }

    /**
     * Adds commands that imitate a defective controller, with which tests verify that {@link InvariantChecker} detects
     * violations.
     */
    private static void addForgeries(Map<String, Command> commands) {
        commands.put("forge-zone", (world, words) -> world.store.forgeZone(words.word(0), words.word(1)));
        commands.put("forge-cancelled", (world, words) -> {
            world.users.cancelAsked.add(words.word(0));
            world.users.jobs.get(words.word(0)).cancelTold = world.now;
        });
        commands.put("forge-start", TraceCommands::forgeStart);
    }

    private static void forgeStart(ClusterSimulator world, TraceArguments words) {
        SimulatedAgent.Task task = new SimulatedAgent.Task();
        task.shot = words.word(1);
        task.take = FORGED_ATTEMPT;
        task.status = "running";
        agent(world, words).tasks.put(task.shot + "#" + FORGED_ATTEMPT, task);
        world.rules.started(agent(world, words), task);
    }

    private static SimulatedAgent agent(ClusterSimulator world, TraceArguments words) {
        return world.workers.get(words.word(0));
    }

    private static String oneWay(TraceArguments words) {
        return words.word(0) + ">" + words.word(1);
    }

    private static NetworkFaults.Cut cut(TraceArguments words, int index) {
        return NetworkFaults.Cut.valueOf(words.word(index).toUpperCase(Locale.ROOT));
    }

    private static String address(ClusterSimulator world, TraceArguments words, int index) {
        return address(world, words.word(index));
    }

    /**
     * Returns the network address of a controller, a machine, the users, or a service that the trace names without its
     * port.
     */
    private static String address(ClusterSimulator world, String name) {
        if (world.nodes.containsKey(name)) {
            return world.nodes.get(name).settings.bind();
        }
        if (name.startsWith(HOST_PREFIX)) {
            return name + ":9000";
        }
        return name.equals("users") ? name : name + ":1";
    }
}
