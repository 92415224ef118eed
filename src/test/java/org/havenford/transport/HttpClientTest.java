package org.havenford.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.havenford.transport.HttpCalls.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Tests the HTTP client over sockets: how the packets of a response arrive, and responses that are not complete. */
class HttpClientTest {
    private static final int MAX_CONNECTIONS = 10;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);
    private static final Duration PACKET_GAP = Duration.ofMillis(40);
    private static final int BUFFER_BYTES = 16;
    private static final Reply NO_ANSWER = new Reply(HttpCalls.NO_ANSWER, "");
    private static final String BODY = "{\"edition\":7,\"failed\":[\"live/job/č\"]}";
    private static final String HEAD =
            "HTTP/1.1 409 Conflict\r\nContent-Length: " + BODY.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n";
    private static final String CHUNKED_HEAD = "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n";

    private XnioWorker worker;
    private HttpClient client;

    @BeforeEach
    void createClient() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1, Options.TCP_NODELAY, true));
        client = new HttpClient(
                new XnioLoop(worker.getIoThread()),
                new DefaultByteBufferPool(false, BUFFER_BYTES, 64, 0),
                () -> MAX_CONNECTIONS);
    }

    @AfterEach
    void stopWorker() {
        worker.shutdownNow();
    }

    /** Sends packets to the first client that connects, after its request has arrived, and then closes the connection. */
    private static void serve(ServerSocket server, List<byte[]> packets) {
        try (Socket socket = server.accept()) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            in.read(new byte[1 << 16]);
            for (byte[] packet : packets) {
                socket.getOutputStream().write(packet);
                Thread.sleep(PACKET_GAP.toMillis());
            }
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private Reply call(int port) throws Exception {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        worker.getIoThread()
                .execute(() -> client.call("127.0.0.1:" + port, "POST", "/multi", "{}", CALL_TIMEOUT, reply::complete));
        return reply.get(CALL_TIMEOUT.toSeconds() + 5, TimeUnit.SECONDS);
    }

    private void assertReply(Reply expected, List<byte[]> packets) throws Exception {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serve(server, packets));
            assertEquals(expected, call(server.getLocalPort()));
            served.get(5, TimeUnit.SECONDS);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static List<byte[]> packets(String... texts) {
        return Stream.of(texts).map(HttpClientTest::bytes).toList();
    }

    private static String chunk(String text) {
        return Integer.toHexString(bytes(text).length) + "\r\n" + text + "\r\n";
    }

    private DynamicTest test(String name, Reply expected, List<byte[]> packets) {
        return DynamicTest.dynamicTest(name, () -> assertReply(expected, packets));
    }

    /** Guards against replies whose body is missing or cut because it arrives after the head. */
    @TestFactory
    Stream<DynamicTest> replyIsWholeHoweverItsPacketsArrive() {
        byte[] body = bytes(BODY);
        int middle = BODY.indexOf('č') + 1;
        Reply whole = new Reply(409, BODY);
        return Stream.of(
                test("one packet", whole, packets(HEAD + BODY)),
                test("head and body apart", whole, packets(HEAD, BODY)),
                test("head in pieces", whole, packets(HEAD.substring(0, 20), HEAD.substring(20) + BODY)),
                test(
                        "body cut within a character",
                        whole,
                        List.of(
                                bytes(HEAD),
                                Arrays.copyOfRange(body, 0, middle),
                                Arrays.copyOfRange(body, middle, body.length))),
                test("chunked", whole, packets(CHUNKED_HEAD, chunk(BODY), chunk(""))));
    }

    /** Guards against a reply with a status, as if it were whole, from a server that has sent only a part of it. */
    @TestFactory
    Stream<DynamicTest> replyThatIsNotWholeIsNoAnswer() {
        String cut = BODY.substring(0, 5);
        return Stream.of(
                test("nothing", NO_ANSWER, packets()),
                test("half of the head", NO_ANSWER, packets(HEAD.substring(0, 20))),
                test("head alone", NO_ANSWER, packets(HEAD)),
                test("half of the body", NO_ANSWER, packets(HEAD, cut)),
                test("half of a chunk", NO_ANSWER, packets(CHUNKED_HEAD, "7\r\n" + cut)),
                test("no last chunk", NO_ANSWER, packets(CHUNKED_HEAD, chunk(cut))));
    }

    @Test
    void callToAPortWithoutAServerIsNotSent() throws Exception {
        int port;
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = server.getLocalPort();
        }
        assertEquals(new Reply(HttpCalls.NOT_SENT, ""), call(port));
    }
}
