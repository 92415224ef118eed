package org.havenford.simulator;

import java.time.Duration;
import java.util.List;

/** The words that follow the name of a command or expectation on a line of a trace, counted from zero. */
record TraceArguments(List<String> words) {
    private static final double MILLIS_PER_SECOND = 1000;

    String word(int index) {
        return words.get(index);
    }

    /** The word at an index, or null if the line has fewer words. */
    String optionalWord(int index) {
        return index < words.size() ? words.get(index) : null;
    }

    int integer(int index) {
        return Integer.parseInt(word(index));
    }

    double decimal(int index) {
        return Double.parseDouble(word(index));
    }

    /** A number of seconds, cut to whole milliseconds. */
    Duration seconds(int index) {
        return Duration.ofMillis((long) (decimal(index) * MILLIS_PER_SECOND));
    }

    /** Whether the word is {@code on}; anything else counts as off. */
    boolean isOn(int index) {
        return word(index).equals("on");
    }

    /** The words from an index to the end of the line. */
    List<String> from(int index) {
        return words.subList(index, words.size());
    }

    /** The words as they stood on the line, separated by single spaces. */
    String text() {
        return String.join(" ", words);
    }
}
