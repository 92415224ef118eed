package org.havenford.protocol;

/** Signals that a message or stored value is malformed; the exception message states the problem. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message states the problem and, where there is one, the field. */
    public MalformedMessageException(String message) {
        super(message);
    }
}
