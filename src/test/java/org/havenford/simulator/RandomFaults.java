package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** Draws a sequence of faults of controllers, machines, the state service and the connections between them. */
final class RandomFaults {
    private static final int FIRST_SECOND = 10;
    private static final int LONGEST_OUTAGE_SECONDS = 12;

    /**
     * The start, duration, targets and cut mode of a fault. All components are drawn for every fault, also those that its kind
     * does not use.
     */
    private record Fault(int second, String controller, String machine, int length, String cut) {
        int end() {
            return second + length;
        }

        /** Returns the end of a fault of a kind that lasts twice the drawn duration. */
        int lateEnd() {
            return second + 2 * length;
        }
    }

    /** The kinds of faults. A seed selects them by index, so reordering the list changes the runs of all seeds. */
    private static final List<BiConsumer<RandomFaults, Fault>> KINDS = List.of(
            RandomFaults::crash,
            RandomFaults::crashAllOneByOne,
            RandomFaults::cutFromStore,
            RandomFaults::cutFromAllMachines,
            RandomFaults::storeOutage,
            RandomFaults::hang,
            RandomFaults::lateTransactions,
            RandomFaults::deafMachine,
            RandomFaults::duplicatedHeartbeats,
            RandomFaults::cutFromStoreAndReboot,
            RandomFaults::crashOfTwo,
            RandomFaults::freeze,
            RandomFaults::cutZone,
            RandomFaults::repeatedRequests,
            RandomFaults::slowCalls,
            RandomFaults::cancellationDuringRefusalAndOutage,
            RandomFaults::muteMachine,
            RandomFaults::repeatedQuestions,
            RandomFaults::slowConnections,
            RandomFaults::reclaim);

    private final SplittableRandom random;
    private final TraceBuilder trace;
    private final int controllers;
    private final int machines;
    private final int jobs;

    RandomFaults(SplittableRandom random, TraceBuilder trace, int controllers, int machines, int jobs) {
        this.random = random;
        this.trace = trace;
        this.controllers = controllers;
        this.machines = machines;
        this.jobs = jobs;
    }

    /** Draws the given number of faults. */
    void draw(int count) {
        int second = FIRST_SECOND;
        for (int i = 0; i < count; i++) {
            second += 4 + random.nextInt(16);
            Fault fault = new Fault(
                    second,
                    drawController(),
                    RandomNames.machine(random.nextInt(machines)),
                    2 + random.nextInt(28),
                    random.nextBoolean() ? "hold" : "drop");
            KINDS.get(random.nextInt(KINDS.size())).accept(this, fault);
        }
    }

    private String drawController() {
        return RandomNames.controller(random.nextInt(controllers));
    }

    private String drawJob() {
        return RandomNames.job(RandomNames.FIRST_JOB + random.nextInt(jobs));
    }

    private void crash(Fault fault) {
        trace.at(fault.second(), "crash " + fault.controller());
        trace.at(fault.second(), 3, "start " + fault.controller());
    }

    private void crashAllOneByOne(Fault fault) {
        for (int number = 0; number < controllers; number++) {
            trace.at(fault.second(), number, "crash " + RandomNames.controller(number));
            trace.at(fault.second() + 3, random.nextInt(10), "start " + RandomNames.controller(number));
        }
    }

    private void crashOfTwo(Fault fault) {
        trace.at(fault.second(), "crash " + fault.controller());
        trace.at(fault.second(), 1, "start " + fault.controller());
        trace.at(fault.second(), 1, "crash node-0");
        trace.at(fault.second(), 4, "start node-0");
    }

    private void freeze(Fault fault) {
        trace.at(fault.second(), "freeze " + fault.controller());
        trace.at(fault.end(), "thaw " + fault.controller());
    }

    private void cutFromStore(Fault fault) {
        trace.at(fault.second(), "cut " + fault.controller() + " state " + fault.cut());
        trace.at(fault.end(), "heal " + fault.controller() + " state");
    }

    private void cutFromStoreAndReboot(Fault fault) {
        cutFromStore(fault);
        trace.at(fault.second(), 2, "reboot " + fault.machine());
    }

    private void cutFromAllMachines(Fault fault) {
        for (int number = 0; number < machines; number++) {
            String machine = RandomNames.machine(number);
            trace.at(fault.second(), "cut " + fault.controller() + " " + machine + " " + fault.cut());
            trace.at(fault.end(), "heal " + fault.controller() + " " + machine);
        }
    }

    private void cutZone(Fault fault) {
        String zone = RandomNames.drawZone(random);
        trace.at(fault.second(), "cut-zone " + zone + " " + fault.cut());
        trace.at(fault.end(), "heal-zone " + zone);
    }

    private void slowConnections(Fault fault) {
        trace.at(fault.second(), "slow-links " + (1 + random.nextInt(10)) / 10.0);
        trace.at(fault.end(), "slow-links 0");
    }

    private void storeOutage(Fault fault) {
        trace.at(fault.second(), "outage on");
        trace.at(fault.second() + Math.min(LONGEST_OUTAGE_SECONDS, fault.length()), "outage off");
    }

    private void lateTransactions(Fault fault) {
        trace.at(fault.second(), "late-txns " + (1 + random.nextInt(4)) + " " + fault.length());
    }

    private void repeatedRequests(Fault fault) {
        trace.at(fault.second(), "repeats " + fault.controller() + " " + (1 + random.nextInt(40)));
        trace.at(fault.end(), "no-repeats " + fault.controller());
    }

    private void slowCalls(Fault fault) {
        trace.at(
                fault.second(),
                "slow-calls " + fault.controller() + " " + (1 + random.nextInt(6)) + " "
                        + (1 + random.nextInt(20)) / 10.0);
    }

    /**
     * Lets the store refuse one controller, cancels a job at a controller drawn separately, and then makes the store
     * unavailable.
     */
    private void cancellationDuringRefusalAndOutage(Fault fault) {
        trace.at(fault.second(), "refuse " + fault.controller());
        trace.at(fault.second(), "cancel " + drawJob() + " " + drawController());
        trace.at(fault.second() + 1, "outage on");
        trace.at(fault.lateEnd() + 1, "outage off");
        trace.at(fault.second() + 3 * fault.length(), "serve " + fault.controller());
    }

    private void repeatedQuestions(Fault fault) {
        String job = drawJob();
        for (int i = 0; i < 4; i++) {
            trace.at(fault.second() + random.nextInt(30), "repeat " + job);
            trace.at(fault.second() + random.nextInt(30), "ask " + job);
        }
        trace.at(fault.second() + random.nextInt(30), "cancel " + job);
    }

    private void hang(Fault fault) {
        trace.at(fault.second(), "hang " + fault.machine());
        trace.at(fault.end(), "wake " + fault.machine());
    }

    private void deafMachine(Fault fault) {
        trace.at(fault.second(), "deaf " + fault.machine());
        trace.at(fault.lateEnd(), "hears " + fault.machine());
    }

    private void muteMachine(Fault fault) {
        trace.at(fault.second(), "mute " + fault.machine());
        trace.at(fault.lateEnd(), "speaks " + fault.machine());
    }

    private void duplicatedHeartbeats(Fault fault) {
        trace.at(fault.second(), "copies " + fault.machine() + " " + (1 + random.nextInt(40)));
        trace.at(fault.lateEnd(), "no-copies " + fault.machine());
    }

    private void reclaim(Fault fault) {
        trace.at(fault.second(), "take " + fault.machine());
    }
}
