import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** HTTP/1.1 servers and clients on the loopback interface. */
final class Web {
    record Reply(int status, String body, double retryAfter) {
        Reply(int status, String body) {
            this(status, body, 0);
        }

        JsonObject json() {
            return JsonParser.parseString(body).getAsJsonObject();
        }
    }

    /** Answers a request; null closes the connection without an answer. */
    interface Handler {
        Reply handle(String method, String path, String body) throws InterruptedException;
    }

    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;
    private static final List<ServerSocket> RESERVED = new ArrayList<>();
    private final World world;
    private final HttpClient client;

    Web(World world) {
        this.world = world;
        this.client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(2))
                .executor(world.pool)
                .build();
    }

    /** Starts a server on a free port and returns its address. */
    String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
        server.setExecutor(world.pool);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void answer(HttpExchange exchange, Handler handler) {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Reply reply = handler.handle(
                    exchange.getRequestMethod(), exchange.getRequestURI().toString(), body);
            if (reply == null) {
                return;
            }
            byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(reply.status(), bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            // The caller has gone away.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            world.record("stand-in failed: %s %s", exchange.getRequestURI(), e);
            e.printStackTrace();
        }
    }

    /**
     * Reserves a free port below the range from which the system takes the ports of outgoing connections, so that it is
     * still free when a controller is started again.
     */
    static synchronized int reservePort() throws IOException {
        while (true) {
            int port = FIRST_PORT + (int) (Math.random() * PORTS);
            try {
                ServerSocket socket = new ServerSocket();
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
                RESERVED.add(socket);
                return port;
            } catch (BindException e) {
                // The port is in use; another one is tried.
            }
        }
    }

    static synchronized void releasePorts() throws IOException {
        for (ServerSocket socket : RESERVED) {
            socket.close();
        }
        RESERVED.clear();
    }

    /** Sends a request; the future ends with status 0 if there is no answer in time. */
    CompletableFuture<Reply> call(String address, String method, String path, String body, double timeout) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis((long) (timeout * 1000)))
                .method(
                        method,
                        body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> failure == null
                        ? new Reply(response.statusCode(), response.body(), retryAfter(response))
                        : new Reply(0, ""));
    }

    /**
     * Sends a request on a connection of its own, in two packets: the header, and some milliseconds later the body. The
     * future ends with status 0 if there is no answer in time.
     */
    CompletableFuture<Reply> callInTwoPackets(
            String address, String method, String path, String body, double timeout, int apartMs) {
        return CompletableFuture.supplyAsync(
                () -> {
                    int colon = address.indexOf(':');
                    try (Socket socket = new Socket()) {
                        socket.setTcpNoDelay(true);
                        socket.setSoTimeout((int) (timeout * 1000));
                        socket.connect(
                                new InetSocketAddress(
                                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                                500);
                        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                        String header = method + " " + path + " HTTP/1.1\r\nHost: " + address
                                + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
                        socket.getOutputStream().write(header.getBytes(StandardCharsets.US_ASCII));
                        Thread.sleep(apartMs);
                        socket.getOutputStream().write(bytes);
                        return readReply(socket.getInputStream());
                    } catch (IOException | InterruptedException | NumberFormatException e) {
                        return new Reply(0, "");
                    }
                },
                world.pool);
    }

    private static Reply readReply(InputStream in) throws IOException {
        String status = readLine(in);
        int length = 0;
        double retryAfter = 0;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            String[] field = line.split(":", 2);
            if (field[0].equalsIgnoreCase("Content-Length")) {
                length = Integer.parseInt(field[1].trim());
            } else if (field[0].equalsIgnoreCase("Retry-After")) {
                retryAfter = Double.parseDouble(field[1].trim());
            }
        }
        byte[] bytes = in.readNBytes(length);
        return new Reply(Integer.parseInt(status.split(" ")[1]), new String(bytes, StandardCharsets.UTF_8), retryAfter);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the connection was closed");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static double retryAfter(HttpResponse<String> response) {
        return response.headers().firstValue("Retry-After").map(Double::parseDouble).orElse(0.0);
    }
}
