package org.havenford.simulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Collects the lines of a generated trace. Commands with the same time run in the order in which they were added. */
final class TraceBuilder {
    private static final String EXPECT_DONE = "expect done ";
    private static final int COMMAND_INDEX = 2;
    private static final int FIRST_ARGUMENT_INDEX = 3;

    private final List<String> lines = new ArrayList<>();

    /** Adds complete lines. */
    void add(String... added) {
        lines.addAll(List.of(added));
    }

    /** Adds all lines of another trace. */
    void addAll(List<String> added) {
        lines.addAll(added);
    }

    /** Adds a command that runs at a whole second of the simulated time. */
    void at(int second, String command) {
        lines.add("at " + second + " " + command);
    }

    /** Adds a command that runs at a time given in seconds of the simulated time. */
    void at(double second, String command) {
        lines.add("at " + second + " " + command);
    }

    /** Adds a command that runs a number of tenths of a second after a whole second of the simulated time. */
    void at(int second, int tenths, String command) {
        lines.add("at " + second + "." + tenths + " " + command);
    }

    /** Adds the expectation that a job is done at the end of the run. */
    void expectDone(String job) {
        lines.add(EXPECT_DONE + job);
    }

    /**
     * Removes the expectation that a job is done from every job with a {@code cancel} command and from all jobs that
     * depend on one, directly or indirectly. A job that is cancelled at a random time may or may not be done by then,
     * and a cancellation also cancels the dependent jobs.
     *
     * @param dependencies the direct dependencies of each job, by job id
     */
    void removeExpectationsOfCancelledJobs(Map<String, List<String>> dependencies) {
        Set<String> cancelled = cancelledJobs();
        boolean changed = true;
        while (changed) {
            changed = false;
            for (Map.Entry<String, List<String>> job : dependencies.entrySet()) {
                if (job.getValue().stream().anyMatch(cancelled::contains)) {
                    changed |= cancelled.add(job.getKey());
                }
            }
        }
        lines.removeIf(
                line -> line.startsWith(EXPECT_DONE) && cancelled.contains(line.substring(EXPECT_DONE.length())));
    }

    private Set<String> cancelledJobs() {
        Set<String> cancelled = new HashSet<>();
        for (String line : lines) {
            String[] words = line.split(" ");
            if (words.length > FIRST_ARGUMENT_INDEX && words[COMMAND_INDEX].equals("cancel")) {
                cancelled.add(words[FIRST_ARGUMENT_INDEX]);
            }
        }
        return cancelled;
    }

    /** Returns the lines added so far; the list is not a copy. */
    List<String> lines() {
        return lines;
    }
}
