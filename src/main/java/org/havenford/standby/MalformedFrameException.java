package org.havenford.standby;

/** Thrown when a peer sends an invalid frame, or a frame that is not allowed in the state of the connection. */
final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
