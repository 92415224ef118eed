package org.havenford.simulator;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;

/** Draws a sequence of faults of controllers, machines, the state service and the connections between them. */
final class RandomFaults {
    private static final int FIRST_SECOND = 10;
    private static final int MAX_OUTAGE_SECONDS = 12;

    /**
     * The start, duration, targets and cut mode of a fault. All components are drawn for every fault, also those that
     * its kind does not use.
     */
    private record Fault(int second, String controller, String machine, int durationSeconds, String cutMode) {
        int end() {
            return second + durationSeconds;
        }

        /** Returns the end of a fault of a kind that lasts twice the drawn duration. */
        int endOfDoubleDuration() {
            return second + 2 * durationSeconds;
        }
    }

    /** The kinds of faults. A seed selects them by index, so reordering the list changes the runs of all seeds. */
    private static final List<BiConsumer<RandomFaults, Fault>> FAULT_KINDS = List.of(
            RandomFaults::crash,
            RandomFaults::crashAllOneByOne,
            RandomFaults::partitionFromStore,
            RandomFaults::partitionFromAllMachines,
            RandomFaults::storeOutage,
            RandomFaults::hangAgent,
            RandomFaults::delayTransactions,
            RandomFaults::dropMessagesToAgent,
            RandomFaults::duplicateHeartbeats,
            RandomFaults::rebootDuringStorePartition,
            RandomFaults::crashTwo,
            RandomFaults::pauseProcess,
            RandomFaults::partitionZone,
            RandomFaults::duplicateRequests,
            RandomFaults::slowStoreCalls,
            RandomFaults::cancelDuringStoreRefusalAndOutage,
            RandomFaults::dropRequestsFromAgent,
            RandomFaults::repeatUserRequests,
            RandomFaults::slowNetwork,
            RandomFaults::reclaimMachine);

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
            FAULT_KINDS.get(random.nextInt(FAULT_KINDS.size())).accept(this, fault);
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

    private void crashTwo(Fault fault) {
        trace.at(fault.second(), "crash " + fault.controller());
        trace.at(fault.second(), 1, "start " + fault.controller());
        trace.at(fault.second(), 1, "crash node-0");
        trace.at(fault.second(), 4, "start node-0");
    }

    private void pauseProcess(Fault fault) {
        trace.at(fault.second(), "freeze " + fault.controller());
        trace.at(fault.end(), "thaw " + fault.controller());
    }

    private void partitionFromStore(Fault fault) {
        trace.at(fault.second(), "cut " + fault.controller() + " state " + fault.cutMode());
        trace.at(fault.end(), "heal " + fault.controller() + " state");
    }

    private void rebootDuringStorePartition(Fault fault) {
        partitionFromStore(fault);
        trace.at(fault.second(), 2, "reboot " + fault.machine());
    }

    private void partitionFromAllMachines(Fault fault) {
        for (int number = 0; number < machines; number++) {
            String machine = RandomNames.machine(number);
            trace.at(fault.second(), "cut " + fault.controller() + " " + machine + " " + fault.cutMode());
            trace.at(fault.end(), "heal " + fault.controller() + " " + machine);
        }
    }

    private void partitionZone(Fault fault) {
        String zone = RandomNames.drawZone(random);
        trace.at(fault.second(), "cut-zone " + zone + " " + fault.cutMode());
        trace.at(fault.end(), "heal-zone " + zone);
    }

    private void slowNetwork(Fault fault) {
        trace.at(fault.second(), "slow-links " + (1 + random.nextInt(10)) / 10.0);
        trace.at(fault.end(), "slow-links 0");
    }

    private void storeOutage(Fault fault) {
        trace.at(fault.second(), "outage on");
        trace.at(fault.second() + Math.min(MAX_OUTAGE_SECONDS, fault.durationSeconds()), "outage off");
    }

    private void delayTransactions(Fault fault) {
        trace.at(fault.second(), "late-txns " + (1 + random.nextInt(4)) + " " + fault.durationSeconds());
    }

    private void duplicateRequests(Fault fault) {
        trace.at(fault.second(), "repeats " + fault.controller() + " " + (1 + random.nextInt(40)));
        trace.at(fault.end(), "no-repeats " + fault.controller());
    }

    private void slowStoreCalls(Fault fault) {
        trace.at(
                fault.second(),
                "slow-calls " + fault.controller() + " " + (1 + random.nextInt(6)) + " "
                        + (1 + random.nextInt(20)) / 10.0);
    }

    /**
     * Lets the store refuse one controller, cancels a job at a controller drawn separately, and then makes the store
     * unavailable.
     */
    private void cancelDuringStoreRefusalAndOutage(Fault fault) {
        trace.at(fault.second(), "refuse " + fault.controller());
        trace.at(fault.second(), "cancel " + drawJob() + " " + drawController());
        trace.at(fault.second() + 1, "outage on");
        trace.at(fault.endOfDoubleDuration() + 1, "outage off");
        trace.at(fault.second() + 3 * fault.durationSeconds(), "serve " + fault.controller());
    }

    private void repeatUserRequests(Fault fault) {
        String job = drawJob();
        for (int i = 0; i < 4; i++) {
            trace.at(fault.second() + random.nextInt(30), "repeat " + job);
            trace.at(fault.second() + random.nextInt(30), "ask " + job);
        }
        trace.at(fault.second() + random.nextInt(30), "cancel " + job);
    }

    private void hangAgent(Fault fault) {
        trace.at(fault.second(), "hang " + fault.machine());
        trace.at(fault.end(), "wake " + fault.machine());
    }

    private void dropMessagesToAgent(Fault fault) {
        trace.at(fault.second(), "deaf " + fault.machine());
        trace.at(fault.endOfDoubleDuration(), "hears " + fault.machine());
    }

    private void dropRequestsFromAgent(Fault fault) {
        trace.at(fault.second(), "mute " + fault.machine());
        trace.at(fault.endOfDoubleDuration(), "speaks " + fault.machine());
    }

    private void duplicateHeartbeats(Fault fault) {
        trace.at(fault.second(), "copies " + fault.machine() + " " + (1 + random.nextInt(40)));
        trace.at(fault.endOfDoubleDuration(), "no-copies " + fault.machine());
    }

    private void reclaimMachine(Fault fault) {
        trace.at(fault.second(), "take " + fault.machine());
    }
}
