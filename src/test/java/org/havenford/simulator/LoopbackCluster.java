package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.PlatformSettings;
import org.havenford.testing.RawHttpConnection;
import org.havenford.transport.HttpCalls.Reply;

/**
 * Runs the simulated store, cloud, agents and users of a {@link ClusterSimulator} in real time, and serves them over HTTP on
 * the loopback interface to controllers that are real processes. The simulation runs on the thread that calls
 * {@link #runUntil}; incoming requests are queued for that thread.
 */
final class LoopbackCluster implements AutoCloseable {
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(70);
    private static final String STORE = "{\"rps\":600,\"write_rps\":300,\"value_kb\":8,\"txn_ops\":12}";
    private static final String HOST = "127.0.0.1";
    private static final int FIRST_PORT = 20_000;
    private static final int PORT_COUNT = 12_000;
    /** Starts at an offset that depends on the process id, so that concurrent test processes rarely try the same ports. */
    private static int nextPort = (int) (ProcessHandle.current().pid() * 397 % PORT_COUNT);

    final ClusterSimulator simulator;
    final Map<String, ControllerProcess> controllers = new LinkedHashMap<>();
    private final Map<String, HttpServer> servers = new HashMap<>();
    private final Map<String, String> endpoints = new HashMap<>();
    /** Requests and answers that the simulation thread has still to handle. */
    private final ConcurrentLinkedQueue<Runnable> pendingTasks = new ConcurrentLinkedQueue<>();

    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "loopback");
        thread.setDaemon(true);
        return thread;
    });
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(executor)
            .build();
    private final long startNanos = System.nanoTime();

    /** Starts the controllers in zones a, b and c, all with the same operator settings. */
    LoopbackCluster(Path directory, int nodes, String teams, String operatorXml)
            throws IOException, MalformedMessageException {
        this(directory, nodes, teams, SimulatorSettings.DEFAULT_AGENTS, operatorXml);
    }

    /** Starts the controllers with the given intervals and limits of agents, as a JSON object. */
    LoopbackCluster(Path directory, int nodes, String teams, String agents, String operatorXml)
            throws IOException, MalformedMessageException {
        SimulatorSettings.Addresses addresses = new SimulatorSettings.Addresses(
                freeAddresses(nodes),
                freeAddresses(nodes),
                freeAddresses(1).get(0),
                freeAddresses(1).get(0));
        List<String> settings = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            settings.add(SimulatorSettings.json(i, addresses, teams, agents, STORE));
        }
        simulator = new ClusterSimulator(1, PlatformSettings.parse(settings.get(0)));
        simulator.agentAddress = this::endpointOf;
        serve(addresses.state());
        serve(addresses.cloud());
        for (int i = 0; i < nodes; i++) {
            PlatformSettings parsed = PlatformSettings.parse(settings.get(i));
            simulator.addRemoteController(parsed);
            String bind = parsed.bind();
            simulator.servers.put(bind, (method, path, body, callback) -> forward(bind, method, path, body, callback));
            ControllerProcess process = new ControllerProcess(directory, parsed.node(), settings.get(i), operatorXml);
            controllers.put(parsed.node(), process);
            process.start();
        }
    }

    /**
     * Returns free loopback addresses. Their ports lie below the ephemeral range of the system, since an outgoing connection
     * could otherwise take a port before a server listens on it.
     */
    private static synchronized List<String> freeAddresses(int count) throws IOException {
        List<String> addresses = new ArrayList<>();
        while (addresses.size() < count) {
            int port = FIRST_PORT + nextPort++ % PORT_COUNT;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                addresses.add(HOST + ":" + socket.getLocalPort());
            } catch (BindException e) {
                // The port is in use; the next one is tried.
            }
        }
        return addresses;
    }

    /** Returns the address of the agent on a machine, and starts an HTTP server there on first use. */
    private String endpointOf(String machine) {
        return endpoints.computeIfAbsent(machine, name -> {
            try {
                String address = freeAddresses(1).get(0);
                serve(address);
                return address;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Starts an HTTP server that passes requests to the simulated server with the same address. */
    private void serve(String address) throws IOException {
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 64);
        server.setExecutor(executor);
        server.createContext("/", exchange -> handle(address, exchange));
        server.start();
        servers.put(address, server);
    }

    private void handle(String address, HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        pendingTasks.add(() -> {
            ClusterSimulator.Server server = simulator.servers.get(address);
            if (server != null) {
                server.handle(
                        exchange.getRequestMethod(), exchange.getRequestURI().toString(), body, reply::complete);
            }
        });
        try {
            Reply answer = reply.orTimeout(ANSWER_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                    .join();
            byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (RuntimeException e) {
            // No answer in time: the connection is closed without a response.
            exchange.getResponseBody();
        } finally {
            exchange.close();
        }
    }

    /** Forwards a call of an agent or a user to the process of a controller; a failed call is answered with status 0. */
    private void forward(String bind, String method, String path, String body, Consumer<Reply> callback) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + bind + path))
                .timeout(Duration.ofSeconds(5))
                .method(
                        method,
                        body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
                .build();
        var unused = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .whenComplete((response, failure) -> {
                    Reply reply =
                            failure == null ? new Reply(response.statusCode(), response.body()) : new Reply(0, "");
                    pendingTasks.add(() -> callback.accept(reply));
                });
    }

    /** Sends a request over a connection, in whatever packets. */
    interface RequestSender {
        void send(RawHttpConnection connection) throws IOException, InterruptedException;
    }

    /** Returns the port at which a controller serves. */
    int portOf(String node) {
        String bind = simulator.controllers.get(node).settings.bind();
        return Integer.parseInt(bind.substring(bind.indexOf(':') + 1));
    }

    /** Sends a request to a controller over a connection of its own, and runs the simulation until it is answered. */
    Reply request(String node, RequestSender sender, double timeoutSeconds) throws InterruptedException {
        int port = portOf(node);
        CompletableFuture<Reply> reply = CompletableFuture.supplyAsync(() -> {
            try (RawHttpConnection connection = new RawHttpConnection(port)) {
                sender.send(connection);
                return connection.read();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        assertTrue(runUntil(reply::isDone, timeoutSeconds), "no answer");
        return reply.join();
    }

    /** Returns the seconds since this cluster was created. */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Runs the simulation in real time until a condition holds or time is up. Returns whether the condition held. */
    boolean runUntil(BooleanSupplier condition, double timeoutSeconds) throws InterruptedException {
        double end = seconds() + timeoutSeconds;
        while (seconds() < end) {
            for (Runnable next = pendingTasks.poll(); next != null; next = pendingTasks.poll()) {
                next.run();
            }
            simulator.runUntil(seconds());
            if (condition.getAsBoolean()) {
                return true;
            }
            Thread.sleep(1);
        }
        return false;
    }

    @Override
    public void close() throws IOException {
        for (ControllerProcess controller : controllers.values()) {
            controller.kill();
        }
        servers.values().forEach(server -> server.stop(0));
        executor.shutdownNow();
    }
}
