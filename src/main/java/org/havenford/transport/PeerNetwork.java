package org.havenford.transport;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;

/** Byte streams between controllers. All callbacks run on the event loop. */
public interface PeerNetwork {
    /** Receives the bytes and the end of a connection. */
    interface Receiver {
        /** Handles received bytes, in the order of the stream; the buffer is valid only during the call. */
        void received(ByteBuffer bytes);

        /** Handles the end of the connection, by the peer or a failure. Not called after {@link Connection#close()}. */
        void closed(String reason);
    }

    /** An open connection. */
    interface Connection {
        /** Sends the remaining bytes of a buffer. Bytes that can't be sent at once are queued. */
        void send(ByteBuffer bytes);

        /** Returns the number of queued bytes. */
        int pendingBytes();

        /** Sets the receiver: first when the connection is handed over, later to replace the receiver. */
        void receiver(Receiver receiver);

        /** Closes the connection at once. */
        void close();
    }

    /** Listens on an address and passes each accepted connection to a callback. */
    void listen(String address, Consumer<Connection> accepted);

    /** Opens a connection; exactly one of the two callbacks is called, the second with the reason of the failure. */
    void connect(String address, Duration timeout, Consumer<Connection> connected, Consumer<String> failed);
}
