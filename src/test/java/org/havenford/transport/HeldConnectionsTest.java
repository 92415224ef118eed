package org.havenford.transport;

import static org.havenford.testing.RawHttpConnection.head;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.havenford.testing.RawHttpConnection;
import org.havenford.transport.HttpServer.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests that clients which send no request, or only a part of one, do not block other clients and are disconnected in time. */
class HeldConnectionsTest {
    private static final int MAX_CONNECTIONS = 1000;
    private static final int HELD_CONNECTIONS = 3000;
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(3);
    /** The load balancer's timeout of a health check. */
    private static final Duration HEALTH_CHECK_TIMEOUT = Duration.ofSeconds(1);

    private static final Duration TIME_TO_CONNECT = Duration.ofSeconds(2);
    private static final String HEALTH_CHECK = head("GET", "/healthz");
    private static final String POST_HEAD = head("POST", "/submissions", "Content-Length: 60000");
    private static final String HALF_HEAD = "GET /healthz HTTP/1.1\r\nHost: te";

    private final List<RawHttpConnection> held = new CopyOnWriteArrayList<>();
    private XnioWorker worker;
    private int port;

    @BeforeEach
    void startServer() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.TCP_NODELAY, true));
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        new HttpServer(
                        new XnioLoop(worker.getIoThread()),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                        MAX_CONNECTIONS,
                        (request, callback) -> callback.accept(Response.of(200, "{}")),
                        EXCHANGE_TIMEOUT,
                        (failure, method, path) -> {})
                .start();
    }

    @AfterEach
    void stopServer() throws IOException {
        for (RawHttpConnection connection : held) {
            connection.close();
        }
        worker.shutdownNow();
    }

    private void hold(int count, String sent) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            RawHttpConnection connection = new RawHttpConnection(port);
            held.add(connection);
            connection.send(sent);
        }
    }

    private void assertAnsweredInTime() throws IOException, InterruptedException {
        long start = System.nanoTime();
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(HEALTH_CHECK);
            assertEquals(200, connection.read().status());
        }
        Duration taken = Duration.ofNanos(System.nanoTime() - start);
        assertTrue(taken.compareTo(HEALTH_CHECK_TIMEOUT) < 0, taken::toString);
    }

    private static Map<String, String> parts() {
        return Map.of(
                "nothing",
                "",
                "half of a head",
                HALF_HEAD,
                "a head without its body",
                POST_HEAD,
                "a part of a body",
                POST_HEAD + "{\"nameId\":" + " ".repeat(30_000));
    }

    @TestFactory
    @Timeout(120)
    Stream<DynamicTest> clientsAreServedBesideThousandsOfHeldConnections() {
        return parts().entrySet().stream()
                .map(part -> DynamicTest.dynamicTest("each has sent " + part.getKey(), () -> {
                    hold(HELD_CONNECTIONS, part.getValue());
                    Thread.sleep(TIME_TO_CONNECT.toMillis());
                    for (int i = 0; i < 5; i++) {
                        assertAnsweredInTime();
                    }
                    for (RawHttpConnection connection : held) {
                        connection.close();
                    }
                    held.clear();
                }));
    }

    @Test
    @Tag("known-red")
    @Timeout(120)
    void clientsAreServedBesideThousandsThatDoNotCloseAnsweredConnections() throws Exception {
        CompletableFuture<Void> holding = CompletableFuture.runAsync(() -> {
            try {
                hold(HELD_CONNECTIONS, HEALTH_CHECK);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        Thread.sleep(TIME_TO_CONNECT.toMillis());
        assertAnsweredInTime();
        holding.join();
    }

    @Test
    @Timeout(30)
    void aHeadThatIsSentSlowlyEndsItsConnection() throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            long start = System.nanoTime();
            Duration elapsed = Duration.ZERO;
            boolean open = true;
            for (int i = 0; open && i < 60; i++) {
                try {
                    connection.send(i == 0 ? "GET /healthz HTTP/1.1\r\nX-Field: " : "x");
                    Thread.sleep(100);
                } catch (IOException e) {
                    open = false;
                }
                elapsed = Duration.ofNanos(System.nanoTime() - start);
            }
            assertTrue(!open, "the connection is still open after " + elapsed);
            assertTrue(elapsed.compareTo(EXCHANGE_TIMEOUT) > 0, elapsed::toString);
        }
    }

    @Test
    @Timeout(30)
    void aHeadThatIsTooLongIsNotKeptInMemory() throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send("GET /healthz HTTP/1.1\r\nX-Field: " + "x".repeat(64 * 1024));
            assertTrue(connection.isClosedWithoutResponse() || connection.read().status() >= 400);
        }
        assertAnsweredInTime();
    }

    @Test
    @Timeout(30)
    void malformedHeadsDoNotKeepOutOthers() throws Exception {
        for (String malformed : List.of("\r\n\r\n", "GET\r\n\r\n", "\0\0\0\0\r\n\r\n", "GET / HTTP/9\r\n\r\n")) {
            try (RawHttpConnection connection = new RawHttpConnection(port)) {
                connection.send(malformed);
            }
            assertAnsweredInTime();
        }
    }
}
