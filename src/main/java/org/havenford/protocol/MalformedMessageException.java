package org.havenford.protocol;

/** A message or stored value that can't be read; its text names the field and what was expected. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** {@code message} says what is wrong with which field. */
    public MalformedMessageException(String message) {
        super(message);
    }
}
