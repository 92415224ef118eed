package org.havenford.simulator;

import java.time.Duration;
import java.util.List;

/**
 * The arguments of a trace line: the words after its keyword or after the name of its command or expectation, from index 0.
 */
record TraceArguments(List<String> words) {
    private static final double MILLIS_PER_SECOND = 1000;

    String word(int index) {
        return words.get(index);
    }

    /** Returns the argument at an index, or null if the line has fewer arguments. */
    String optionalWord(int index) {
        return index < words.size() ? words.get(index) : null;
    }

    int integer(int index) {
        return Integer.parseInt(word(index));
    }

    double decimal(int index) {
        return Double.parseDouble(word(index));
    }

    /** Parses an argument as a decimal number of seconds, truncated to whole milliseconds. */
    Duration seconds(int index) {
        return Duration.ofMillis((long) (decimal(index) * MILLIS_PER_SECOND));
    }

    /** Returns whether the argument is {@code on}; any other word counts as off. */
    boolean isOn(int index) {
        return word(index).equals("on");
    }

    /** Returns the arguments from an index to the end of the line. */
    List<String> from(int index) {
        return words.subList(index, words.size());
    }

    /** Returns all arguments in the order of the line, separated by single spaces. */
    String text() {
        return String.join(" ", words);
    }
}
