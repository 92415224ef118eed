package org.havenford.simulator;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The lines of a trace while it is drawn. Their order matters: what happens at the same time happens in that order. */
final class TraceBuilder {
    private static final String EXPECT_DONE = "expect done ";
    private static final int COMMAND = 2;
    private static final int FIRST_ARGUMENT = 3;

    private final List<String> lines = new ArrayList<>();

    /** Adds whole lines. */
    void add(String... more) {
        lines.addAll(List.of(more));
    }

    /** Adds the lines of another trace. */
    void addAll(List<String> more) {
        lines.addAll(more);
    }

    /** Adds a command at a second of the run. */
    void at(int second, String command) {
        lines.add("at " + second + " " + command);
    }

    /** Adds a command at a second of the run. */
    void at(double second, String command) {
        lines.add("at " + second + " " + command);
    }

    /** Adds a command some tenths of a second after a second of the run. */
    void at(int second, int tenths, String command) {
        lines.add("at " + second + "." + tenths + " " + command);
    }

    /** Adds the expectation that a job is done at the end. */
    void expectDone(String job) {
        lines.add(EXPECT_DONE + job);
    }

    /**
     * Removes the expectation of an end from jobs that may be cancelled: one that is cancelled at a drawn moment may be over by
     * then or not, and what depends on it shares its fate.
     *
     * @param dependencies the jobs that each job depends on
     */
    void removeExpectationsOfCancelledJobs(Map<String, List<String>> dependencies) {
        Set<String> cancelled = cancelledJobs();
        boolean grows = true;
        while (grows) {
            grows = false;
            for (Map.Entry<String, List<String>> job : dependencies.entrySet()) {
                if (job.getValue().stream().anyMatch(cancelled::contains)) {
                    grows |= cancelled.add(job.getKey());
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
            if (words.length > FIRST_ARGUMENT && words[COMMAND].equals("cancel")) {
                cancelled.add(words[FIRST_ARGUMENT]);
            }
        }
        return cancelled;
    }

    /** The lines so far. */
    List<String> lines() {
        return lines;
    }
}
