package org.havenford.standby;

/** A peer has sent what can't be a frame of this protocol, or not one that may come now. The connection is closed. */
final class MalformedFrameException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedFrameException(String message) {
        super(message);
    }
}
