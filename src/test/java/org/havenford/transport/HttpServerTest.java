package org.havenford.transport;

import static org.havenford.testing.RawHttpConnection.head;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.havenford.testing.RawHttpConnection;
import org.havenford.transport.HttpCalls.Reply;
import org.havenford.transport.HttpServer.Request;
import org.havenford.transport.HttpServer.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests the HTTP server over sockets: how the packets of a request arrive, and when its handler answers. */
class HttpServerTest {
    private static final int MAX_CONNECTIONS = 100;
    private static final Duration HANDLER_DELAY = Duration.ofMillis(120);
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(400);
    private static final String BODY = "{\"nameId\":\"j-1\",\"lineup\":\"clipčut\"}";
    /** More than the buffers of both ends of a connection hold. */
    private static final String LARGE_BODY = "x".repeat(64 << 20);

    private static final Reply EXPECTED = new Reply(201, "{\"answer\":\"čas\"}");

    private final List<Request> handled = new CopyOnWriteArrayList<>();
    private final List<ExchangeFailure> failures = new CopyOnWriteArrayList<>();
    private XnioWorker worker;
    private XnioLoop loop;
    private int port;
    /** Gives the answer to a request for {@code /held}, on the event loop. */
    private volatile Runnable heldAnswer;

    @BeforeEach
    void startServer() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.TCP_NODELAY, true));
        loop = new XnioLoop(worker.getIoThread());
        startServer(LONG_TIMEOUT);
    }

    private void startServer(Duration exchangeTimeout) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
        ExchangeFailureListener listener = (failure, method, path) -> failures.add(failure);
        new HttpServer(loop, address, MAX_CONNECTIONS, this::handle, exchangeTimeout, listener).start();
    }

    @AfterEach
    void stopServer() {
        worker.shutdownNow();
    }

    /** Answers later, as if the store were asked first, unless the path says otherwise. */
    private void handle(Request request, Consumer<Response> callback) {
        handled.add(request);
        Runnable answer = () -> callback.accept(Response.of(EXPECTED.status(), EXPECTED.body()));
        switch (request.path()) {
            case "/checkin", "/healthz" -> answer.run();
            case "/throws" -> throw new IllegalStateException();
            case "/never" -> {}
            case "/twice" -> {
                answer.run();
                answer.run();
            }
            case "/late" -> loop.after(SHORT_TIMEOUT.multipliedBy(2), answer);
            case "/held" -> heldAnswer = answer;
            case "/large" -> callback.accept(Response.of(200, LARGE_BODY));
            default -> loop.after(HANDLER_DELAY, answer);
        }
    }

    private static String lengthOf(String body) {
        return "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length;
    }

    /** Splits a text in the middle. */
    private static String[] halves(String text) {
        int middle = text.length() / 2;
        return new String[] {text.substring(0, middle), text.substring(middle)};
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    /** Returns the ways in which the packets of a POST request may arrive, each as a list of packets with its name. */
    private static Map<String, List<String>> deliveries(String path, String body) {
        String head = head("POST", path, lengthOf(body));
        String chunkedHead = head("POST", path, "Transfer-Encoding: chunked");
        String[] headHalves = halves(head);
        String[] bodyHalves = halves(body);
        return Map.of(
                "one packet", List.of(head + body),
                "head and body apart", List.of(head, body),
                "half of the body apart", List.of(head + bodyHalves[0], bodyHalves[1]),
                "four pieces", List.of(headHalves[0], headHalves[1], bodyHalves[0], bodyHalves[1]),
                "chunked, one packet", List.of(chunkedHead + chunk(body) + chunk("")),
                "chunked, in pieces", List.of(chunkedHead, chunk(bodyHalves[0]), chunk(bodyHalves[1]), chunk("")));
    }

    /** Sends a request twice over one connection; both times the response must be that of the handler. */
    private void assertAnsweredTwice(List<String> packets, String body) throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            for (int i = 0; i < 2; i++) {
                handled.clear();
                connection.send(packets.toArray(String[]::new));
                assertEquals(EXPECTED, connection.read());
                assertEquals(1, handled.size());
                assertEquals(body, new String(handled.get(0).body(), StandardCharsets.UTF_8));
            }
        }
    }

    /** Guards against an empty 200 in place of the handler's response if the body arrives after the head. */
    @TestFactory
    Stream<DynamicTest> postIsAnsweredByItsHandlerHoweverItsPacketsArrive() {
        return Stream.of("/submissions", "/submissions/j-1/abort", "/checkin")
                .flatMap(path -> deliveries(path, BODY).entrySet().stream()
                        .map(delivery -> DynamicTest.dynamicTest(
                                path + ", " + delivery.getKey(),
                                () -> assertAnsweredTwice(delivery.getValue(), BODY))));
    }

    @TestFactory
    Stream<DynamicTest> requestWithoutBodyIsAnsweredByItsHandlerHoweverItsPacketsArrive() {
        return Stream.of(
                        head("GET", "/submissions/j-1"),
                        head("GET", "/healthz"),
                        head("POST", "/submissions/j-1/abort", "Content-Length: 0"))
                .flatMap(request -> Stream.of(List.of(request), List.of(halves(request)))
                        .map(packets ->
                                DynamicTest.dynamicTest("as " + packets, () -> assertAnsweredTwice(packets, ""))));
    }

    /** Guards against clients that wait in vain for an interim response before they send the body. */
    @TestFactory
    Stream<DynamicTest> clientThatExpectsToContinueIsToldTo() {
        return Stream.of("/submissions", "/submissions/j-1/abort", "/checkin")
                .map(path -> DynamicTest.dynamicTest(path, () -> {
                    handled.clear();
                    try (RawHttpConnection connection = new RawHttpConnection(port)) {
                        connection.send(head("POST", path, lengthOf(BODY), "Expect: 100-continue"));
                        assertEquals(100, connection.read().status());
                        assertEquals(List.of(), handled);
                        connection.send(BODY);
                        assertEquals(EXPECTED, connection.read());
                        connection.send(head("GET", "/submissions/j-1"));
                        assertEquals(EXPECTED, connection.read());
                    }
                }));
    }

    /** A client that expects to continue may send the body at once; an interim response may then be left out. */
    @Test
    void clientThatDoesNotWaitToContinueIsAnsweredByTheHandler() throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(head("POST", "/submissions", lengthOf(BODY), "Expect: 100-continue"), BODY);
            Reply reply = connection.read();
            assertEquals(EXPECTED, reply.status() == 100 ? connection.read() : reply);
        }
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + LONG_TIMEOUT.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.sleep(5);
        }
    }

    private void awaitFailures(ExchangeFailure... expected) throws InterruptedException {
        await(() -> failures.size() >= expected.length);
        assertEquals(List.of(expected), failures);
    }

    /** Guards against requests that are handled although their client has broken off within the body. */
    @Test
    void requestThatBreaksOffIsNotHandled() throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(head("POST", "/submissions/j-1/abort", lengthOf(BODY)), halves(BODY)[0]);
        }
        awaitFailures(ExchangeFailure.INCOMPLETE_REQUEST);
        assertEquals(List.of(), handled);
    }

    /** Sends a request that never becomes whole: its connection must be closed, and no handler may see it. */
    private void assertClosedAndNotHandled(ExchangeFailure expected, String... packets) throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(packets);
            assertTrue(connection.isClosedWithoutResponse());
        }
        awaitFailures(expected);
        assertEquals(List.of(), handled);
    }

    /** Guards against requests that are handled although the chunks of their body cannot be parsed. */
    @Test
    void requestWithMalformedChunksIsNotHandled() throws Exception {
        String head = head("POST", "/submissions/j-1/abort", "Transfer-Encoding: chunked");
        assertClosedAndNotHandled(ExchangeFailure.INCOMPLETE_REQUEST, head, chunk(BODY), "f".repeat(20) + "\r\n");
    }

    /** Guards against connections that are held forever by clients that never finish a request. */
    @Test
    void connectionOfARequestThatIsNeverFinishedIsClosed() throws Exception {
        startServer(SHORT_TIMEOUT);
        String head = head("POST", "/submissions", lengthOf(BODY));
        assertClosedAndNotHandled(ExchangeFailure.REQUEST_TIMEOUT, head, halves(BODY)[0]);
    }

    /** Guards against connections that are held forever by clients that do not read the answer. */
    @Test
    void answerThatIsNotReadIsReportedAndItsConnectionClosed() throws Exception {
        startServer(SHORT_TIMEOUT);
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(head("GET", "/large"));
            awaitFailures(ExchangeFailure.UNDELIVERED_RESPONSE);
            assertTrue(connection.read().body().length() < LARGE_BODY.length());
        }
    }

    /** Guards against answers withheld from clients that have closed their sending side, but still read. */
    @Test
    void clientThatHasClosedItsSendingSideIsAnswered() throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(head("POST", "/submissions", lengthOf(BODY)), BODY);
            connection.closeOutput();
            assertEquals(EXPECTED, connection.read());
        }
        assertEquals(List.of(), failures);
    }

    /** A query needs no body; one that arrives late must neither delay the answer nor be taken for the next request. */
    @Test
    void queryWithALateBodyIsAnsweredByItsHandler() throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(head("GET", "/submissions/j-1", lengthOf(BODY)), BODY);
            assertEquals(EXPECTED, connection.read());
            connection.send(head("GET", "/healthz"));
            assertEquals(EXPECTED, connection.read());
        }
        assertEquals(List.of(), failures);
    }

    /** Guards against exchanges that stay open if a handler loses a request, and against answers dropped unseen. */
    @Test
    void requestWithoutAnAnswerInTimeIsAnsweredByTheServer() throws Exception {
        startServer(SHORT_TIMEOUT);
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(head("GET", "/never"));
            assertEquals(504, connection.read().status());
            connection.send(head("GET", "/late"));
            assertEquals(504, connection.read().status());
        }
        awaitFailures(ExchangeFailure.HANDLER_TIMEOUT, ExchangeFailure.HANDLER_TIMEOUT, ExchangeFailure.LATE_RESPONSE);
    }

    @Test
    void secondAnswerToARequestIsReported() throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(head("GET", "/twice"));
            assertEquals(EXPECTED, connection.read());
        }
        awaitFailures(ExchangeFailure.LATE_RESPONSE);
    }

    /** Guards against answers that vanish without a trace because the client has closed its connection. */
    @Test
    void answerToAClientThatIsGoneIsReported() throws Exception {
        RawHttpConnection connection = new RawHttpConnection(port);
        connection.send(head("POST", "/held", lengthOf(BODY)), BODY);
        await(() -> heldAnswer != null);
        connection.reset();
        loop.after(Duration.ZERO, heldAnswer);
        awaitFailures(ExchangeFailure.UNDELIVERED_RESPONSE);
        assertEquals(1, handled.size());
    }

    @Test
    void requestWhoseHandlerFailsIsToBeRepeated() throws Exception {
        try (RawHttpConnection connection = new RawHttpConnection(port)) {
            connection.send(head("POST", "/throws", lengthOf(BODY)), BODY);
            assertEquals(503, connection.read().status());
        }
        assertEquals(List.of(), failures);
    }

    @Test
    void bodyThatIsTooLargeIsPassedOnAsNull() throws Exception {
        String body = "x".repeat(HttpServer.MAX_BODY_BYTES + 1);
        String[] chunks = halves(body);
        String chunkedHead = head("POST", "/checkin", "Transfer-Encoding: chunked");
        for (String[] packets : List.of(
                new String[] {head("POST", "/checkin", lengthOf(body)), body},
                new String[] {chunkedHead, chunk(chunks[0]), chunk(chunks[1]), chunk("")})) {
            handled.clear();
            try (RawHttpConnection connection = new RawHttpConnection(port)) {
                connection.send(packets);
                assertEquals(EXPECTED, connection.read());
            }
            assertEquals(1, handled.size());
            assertNull(handled.get(0).body());
        }
    }
}
