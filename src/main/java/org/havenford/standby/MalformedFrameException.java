package org.havenford.standby;

/** Thrown when a peer sends an invalid frame, or one that is not allowed at this point; the connection is then closed. */
final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
