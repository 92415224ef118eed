package org.havenford.testing;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.havenford.transport.HttpCalls.Reply;

/** A client's connection over a plain socket, for tests that decide which bytes of a request go into which packet. */
public final class RawHttpConnection implements AutoCloseable {
    private static final Duration PACKET_GAP = Duration.ofMillis(100);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    private final Socket socket;

    /** Connects to a port of the loopback interface. */
    public RawHttpConnection(int port) throws IOException {
        socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout((int) READ_TIMEOUT.toMillis());
    }

    /** Returns the head of a request with the given further header fields. */
    public static String head(String method, String path, String... fields) {
        String lines = fields.length == 0 ? "" : String.join("\r\n", fields) + "\r\n";
        return method + " " + path + " HTTP/1.1\r\nHost: test\r\n" + lines + "\r\n";
    }

    /** Sends texts in packets of their own, each some time after the one before. */
    public void send(String... packets) throws IOException, InterruptedException {
        for (int i = 0; i < packets.length; i++) {
            if (i > 0) {
                Thread.sleep(PACKET_GAP.toMillis());
            }
            send(packets[i].getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Sends bytes at once. */
    public void send(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Reads one response; the body of one without a Content-Length field is empty. */
    public Reply read() throws IOException {
        InputStream in = socket.getInputStream();
        int status = Integer.parseInt(readLine(in).split(" ")[1]);
        int length = 0;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            String[] field = line.split(":", 2);
            if (field[0].equalsIgnoreCase("Content-Length")) {
                length = Integer.parseInt(field[1].trim());
            }
        }
        return new Reply(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    /** Returns whether the server closes the connection without sending a further byte. */
    public boolean isClosedWithoutResponse() throws IOException {
        return socket.getInputStream().read() < 0;
    }

    /** Closes the sending side only, as a client does that has no further request. */
    public void closeOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Closes the connection with a reset, so that a later write of the server fails. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection was closed");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
