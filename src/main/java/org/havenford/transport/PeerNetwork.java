package org.havenford.transport;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.function.Consumer;

/** Byte streams between controllers. All callbacks run on the event loop. */
public interface PeerNetwork {
    /** Receives what comes over a connection. */
    interface Receiver {
        /** Some bytes have come, in order; the buffer is only valid during the call. */
        void received(ByteBuffer bytes);

        /** The connection is over, by the other end or by a failure. Not told after {@link Connection#close()}. */
        void closed(String reason);
    }

    /** An open connection. */
    interface Connection {
        /** Sends the rest of a buffer, or keeps it until the other end takes it. */
        void send(ByteBuffer bytes);

        /** Bytes that the other end has not taken yet. */
        int pendingBytes();

        /** Sets who receives; to be called when the connection is handed over. */
        void receiver(Receiver receiver);

        /** Closes the connection at once. */
        void close();
    }

    /** Listens on an address and hands over each connection that comes in. */
    void listen(String address, Consumer<Connection> accepted);

    /** Opens a connection; exactly one of the callbacks is told. */
    void connect(String address, Duration timeout, Consumer<Connection> connected, Consumer<String> failed);
}
