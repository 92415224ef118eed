package second;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: the project's own controllers as processes, and stand-ins for the state
 * service, the cloud, the workers and the users. The stand-ins follow the protocol page. Every controller has an
 * address of its own for the state service and for the cloud, so that a fault can concern one of them alone.
 */
final class World {
    static final Random RANDOM = new Random(7);

    // Settings of the deployment; a case changes them before start().
    int nodes = 3;
    String[] zones = {"krpole", "zidenice", "cernovice"};
    String team = "replaydesk";
    double cpusMax = 0;
    double reportS = 3;
    double leaseS = 26;
    double cancelS = 46;
    double stateRps = 250;
    double stateWriteRps = 100;
    int valueKb = 8;
    int txnOps = 12;
    double cloudRps = 4;
    double listLagS = 4;
    int maxConnections = 2500;
    String rig = "strihac";
    double rigCpus = 16;
    double rigMemGb = 64;
    double fetchGbPerS = 0.5;
    double bootS = 30;
    int machinesPerZone = 4;
    int maxMachinesPerZone = 5;

    final long startNanos = System.nanoTime();
    final PrintWriter record;
    final Path folder;
    final Path temp;
    final ExecutorService threads = Executors.newCachedThreadPool(World::daemon);
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, World::daemon);
    final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(4))
            .executor(threads)
            .build();

    Store store;
    Cloud cloud;
    Node[] node;
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    /** What the users uploaded: job id -> submission. */
    final Map<String, JsonObject> descriptions = new ConcurrentHashMap<>();
    /** How long the tasks of a job run; default 5 s. */
    final Map<String, Double> runSeconds = new ConcurrentHashMap<>();
    /** Task -> machines on which it is at this moment. */
    final Map<String, Set<String>> onMachines = new HashMap<>();
    /** Broken rules that the stand-ins have seen. */
    final List<String> broken = new ArrayList<>();

    World(String folderName) throws IOException {
        folder = Path.of(folderName);
        temp = Files.createTempDirectory("havenford-review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stopAll));
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void note(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values));
    }

    synchronized void breakRule(String rule, String format, Object... values) {
        String text = rule + ": " + String.format(Locale.ROOT, format, values);
        broken.add(text);
        note("BROKEN %s", text);
    }

    void sleepUntil(double second) throws InterruptedException {
        double left = second - now();
        if (left > 0) {
            Thread.sleep((long) (left * 1000));
        }
    }

    static void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }

    /** Returns a free port below those that the system gives to outgoing connections, which might take it first. */
    static int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // It is taken.
            }
        }
        throw new IOException("no free port");
    }

    void start() throws IOException {
        store = new Store(this);
        cloud = new Cloud(this);
        node = new Node[nodes];
        for (int i = 0; i < nodes; i++) {
            node[i] = new Node(this, i);
        }
        for (int i = 0; i < nodes; i++) {
            node[i].writeSettings();
        }
        for (String zone : zones) {
            for (int i = 0; i < machinesPerZone; i++) {
                cloud.rent(zone, false, 0);
            }
        }
        for (int i = 0; i < nodes; i++) {
            node[i].start();
        }
        timer.schedule(
                () -> {
                    note("out of time");
                    System.exit(2);
                },
                118,
                TimeUnit.SECONDS);
    }

    interface Play {
        void play() throws Exception;
    }

    /** Plays a case; one that fails by itself could not run. */
    static void guard(Play play) {
        try {
            play.play();
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    /** Ends a case with the code that the review asks for. */
    void finish(boolean ruleBroken, String why) {
        note("%s: %s", ruleBroken ? "RULE BROKEN" : "rule held", why);
        System.out.println((ruleBroken ? "rule broken: " : "rule held: ") + why);
        System.exit(ruleBroken ? 1 : 0);
    }

    void cannotRun(String why) {
        note("could not run: %s", why);
        System.out.println("could not run: " + why);
        System.exit(2);
    }

    void stopAll() {
        if (node != null) {
            for (Node n : node) {
                if (n != null) {
                    n.kill();
                }
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        try {
            if (keep != null) {
                Path target = Files.createDirectories(Path.of(keep));
                for (Node n : node) {
                    Files.copy(
                            n.log(),
                            target.resolve(n.name + ".log"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
            try (Stream<Path> files = Files.walk(temp)) {
                files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }

    /** Waits until all controllers are ready; ends the case if they don't get there. */
    void awaitReady(double seconds) throws InterruptedException {
        double until = now() + seconds;
        while (now() < until) {
            boolean all = true;
            for (Node n : node) {
                all &= n.healthy();
            }
            if (all) {
                note("all controllers are ready");
                return;
            }
            sleep(0.1);
        }
        cannotRun("the controllers did not get ready");
    }

    // ---- users ----

    static JsonObject job(String id, String jobClass, int tasks, double cpus, double memGb) {
        JsonObject json = new JsonObject();
        json.addProperty("nameId", id);
        json.addProperty("lineup", jobClass);
        json.addProperty("crew", "replaydesk");
        json.addProperty("shape", "batch");
        json.addProperty("urgency", "urgent");
        json.addProperty("shots", tasks);
        json.addProperty("vcpus", cpus);
        json.addProperty("cards", 0.0);
        json.addProperty("memGb", memGb);
        json.addProperty("reel", "img-1");
        json.addProperty("imageGb", 0.2);
        json.addProperty("together", false);
        json.addProperty("apart", false);
        json.addProperty("borrowed", true);
        json.addProperty("guessS", 5.0);
        json.addProperty("keyframeS", 0.0);
        json.addProperty("flushS", 0.0);
        return json;
    }

    static String id(int number) {
        return String.format(Locale.ROOT, "j-%06d", number);
    }

    record Answer(int status, String body) {
        String state() {
            try {
                return JsonParser.parseString(body).getAsJsonObject().get("status").getAsString();
            } catch (RuntimeException e) {
                return "";
            }
        }
    }

    Answer call(String method, String address, String path, String body, double seconds) {
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(Duration.ofMillis((long) (seconds * 1000)));
            request.method(
                    method,
                    body == null
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8));
            HttpResponse<String> response = http.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }

    /** Submits as a user does: to one node after the other until it is accepted or refused, for 60 s at most. */
    Answer submit(JsonObject job, int firstNode) throws InterruptedException {
        String id = job.get("nameId").getAsString();
        descriptions.put(id, job);
        double until = now() + 60;
        int at = firstNode;
        Answer answer = new Answer(0, "");
        while (now() < until) {
            answer = call("POST", node[at % nodes].bind, "/submissions", job.toString(), 5);
            note("user submits %s to %s: %d %s", id, node[at % nodes].name, answer.status, answer.body);
            if (answer.status == 200 || answer.status == 201 || answer.status == 400 || answer.status == 422) {
                return answer;
            }
            at++;
            sleep(1);
        }
        return answer;
    }

    Answer poll(String id, int nodeIndex) {
        Answer answer = call("GET", node[nodeIndex % nodes].bind, "/submissions/" + id, null, 2);
        note("user asks %s about %s: %d %s", node[nodeIndex % nodes].name, id, answer.status, answer.body);
        return answer;
    }

    Answer abort(String id, int nodeIndex) {
        Answer answer = call("POST", node[nodeIndex % nodes].bind, "/submissions/" + id + "/abort", null, 5);
        note("user cancels %s at %s: %d %s", id, node[nodeIndex % nodes].name, answer.status, answer.body);
        return answer;
    }

    // ---- what the tasks do ----

    void taskOn(String task, String machine, long attempt) {
        synchronized (onMachines) {
            Set<String> machines = onMachines.computeIfAbsent(task, key -> new LinkedHashSet<>());
            if (!machines.isEmpty() && !machines.contains(machine)) {
                breakRule("ran_twice", "%s starts on %s while it is on %s", task, machine, machines);
            }
            machines.add(machine);
        }
        note("task %s attempt %d starts on %s", task, attempt, machine);
    }

    /** Jobs of which a task has completed. */
    private final Set<String> completed = ConcurrentHashMap.newKeySet();

    /** Returns whether a task of a job has completed. */
    boolean ended(String job) {
        return completed.contains(job);
    }

    void taskOff(String task, String machine, long attempt, String why) {
        synchronized (onMachines) {
            Set<String> machines = onMachines.get(task);
            if (machines != null) {
                machines.remove(machine);
            }
        }
        if (why.equals("done")) {
            completed.add(task.substring(0, task.indexOf('/')));
        }
        note("task %s attempt %d is off %s: %s", task, attempt, machine, why);
    }

    /** Tasks whose next run fails. */
    final Set<String> failing = ConcurrentHashMap.newKeySet();
    /** By how much, as a share, the run times of a job's tasks vary around its own. */
    double vary = 0;

    // ---- a server ----

    interface Handler {
        void handle(HttpExchange exchange, String body) throws IOException, InterruptedException;
    }

    HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                handler.handle(exchange, body);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                note("stand-in failed: %s", e);
                e.printStackTrace();
            } finally {
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    static void respond(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> values = new HashMap<>();
        String query = exchange.getRequestURI().getQuery();
        if (query != null) {
            for (String part : query.split("&")) {
                int eq = part.indexOf('=');
                values.put(part.substring(0, eq), part.substring(eq + 1));
            }
        }
        return values;
    }
}

/** One controller: the settings and the process. */
final class Node {
    final World world;
    final int index;
    final String name;
    final String zone;
    final String bind;
    final String peer;
    volatile Process process;

    Node(World world, int index) throws IOException {
        this.world = world;
        this.index = index;
        name = "workhorse-" + index;
        zone = world.zones[index % world.zones.length];
        bind = "127.0.0.1:" + World.freePort();
        peer = "127.0.0.1:" + World.freePort();
    }

    private Path settingsFile() {
        return world.temp.resolve(name + ".json");
    }

    Path log() {
        return world.temp.resolve(name + ".log");
    }

    void writeSettings() throws IOException {
        JsonObject json = new JsonObject();
        json.addProperty("node_name", name);
        json.addProperty("location", zone);
        json.addProperty("bind", bind);
        json.addProperty("cluster_listen", peer);
        JsonArray others = new JsonArray();
        for (Node other : world.node) {
            if (other != this) {
                JsonObject o = new JsonObject();
                o.addProperty("node_name", other.name);
                o.addProperty("location", other.zone);
                o.addProperty("peer_addr", other.peer);
                others.add(o);
            }
        }
        json.add("others", others);
        JsonObject endpoints = new JsonObject();
        endpoints.addProperty("cloud", world.cloud.address(index));
        endpoints.addProperty("state", world.store.address(index));
        json.add("endpoints", endpoints);
        JsonObject deployment = new JsonObject();
        deployment.addProperty("size", world.nodes);
        JsonArray zones = new JsonArray();
        Stream.of(world.zones).sorted().forEach(zones::add);
        deployment.add("zones", zones);
        JsonArray teams = new JsonArray();
        JsonObject team = new JsonObject();
        team.addProperty("name", world.team);
        team.addProperty("cpus", 0.0);
        team.addProperty("cpus_max", world.cpusMax);
        team.addProperty("gpus", 0.0);
        team.addProperty("gpus_max", 0.0);
        teams.add(team);
        deployment.add("teams", teams);
        deployment.add("objectives", new JsonArray());
        JsonObject workers = new JsonObject();
        workers.addProperty("report_s", world.reportS);
        workers.addProperty("lease_s", world.leaseS);
        workers.addProperty("gang_wait_s", 30.0);
        workers.addProperty("gang_peer_s", 5.0);
        workers.addProperty("cancel_s", world.cancelS);
        deployment.add("workers", workers);
        JsonObject state = new JsonObject();
        state.addProperty("rps", world.stateRps);
        state.addProperty("write_rps", world.stateWriteRps);
        state.addProperty("value_kb", (double) world.valueKb);
        state.addProperty("txn_ops", world.txnOps);
        deployment.add("state", state);
        JsonObject cloud = new JsonObject();
        cloud.addProperty("rps", world.cloudRps);
        cloud.addProperty("list_lag_s", world.listLagS);
        deployment.add("cloud", cloud);
        JsonObject resources = new JsonObject();
        resources.addProperty("cores", 0.255);
        resources.addProperty("memory_mb", 320.0);
        resources.addProperty("max_connections", world.maxConnections);
        deployment.add("resources", resources);
        deployment.addProperty("clock_off_ms", 25.0);
        json.add("deployment", deployment);
        Files.writeString(settingsFile(), json.toString());
    }

    /** Starts the process with the line "run" of the deploy file, from the repository's root. */
    void start() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/service.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.add(settingsFile().toString());
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
                .start();
        world.note("%s starts", name);
    }

    void kill() {
        Process p = process;
        if (p != null && p.isAlive()) {
            p.destroyForcibly();
            world.note("%s is killed", name);
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    boolean healthy() {
        return world.call("GET", bind, "/healthz", null, 1).status() == 200;
    }

    long countInLog(String text) throws IOException {
        try (Stream<String> lines = Files.lines(log(), StandardCharsets.ISO_8859_1)) {
            return lines.filter(line -> line.contains(text)).count();
        }
    }
}

/** The state service. */
final class Store {
    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_BODY = 64 * 1024;

    static final class Entry {
        String value;
        long stamp;
        long permit;
    }

    record Change(long stamp, String key, String value) {}

    static final class Hold {
        long id;
        long lifeMs;
        long endsNanos;
        final Set<String> keys = new LinkedHashSet<>();
    }

    /** Tells what to do with a transaction; the default carries it out. */
    interface Filter {
        /** Returns whether the transaction is to be carried out and answered as usual. */
        boolean usual(int node, String body);
    }

    final World world;
    private final HttpServer[] servers;
    private final TreeMap<String, Entry> data = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private long edition = 1;
    private long forgottenUpTo = 0;
    private long nextHold = 1;
    private double requestTokens;
    private double writeTokens;
    private long tokensAt = System.nanoTime();
    /** Nodes that get 503. */
    final Set<Integer> refused = ConcurrentHashMap.newKeySet();
    /** Nodes whose packets go nowhere. */
    final Set<Integer> cut = ConcurrentHashMap.newKeySet();
    volatile Filter filter = (node, body) -> true;
    /** The last renewed lease of each node, and when that was. */
    final Map<Integer, Long> touched = new ConcurrentHashMap<>();
    final Map<Integer, Double> touchedAt = new ConcurrentHashMap<>();
    long committed;
    long changedKeys;
    long changedBytes;
    long tooLarge;
    long limited;

    Store(World world) throws IOException {
        this.world = world;
        requestTokens = world.stateRps;
        writeTokens = world.stateWriteRps;
        servers = new HttpServer[world.nodes];
        for (int i = 0; i < world.nodes; i++) {
            int node = i;
            servers[i] = world.serve((exchange, body) -> handle(node, exchange, body));
        }
        world.timer.scheduleAtFixedRate(this::endHolds, 20, 20, TimeUnit.MILLISECONDS);
    }

    String address(int node) {
        return "127.0.0.1:" + servers[node].getAddress().getPort();
    }

    private void handle(int node, HttpExchange exchange, String body) throws IOException, InterruptedException {
        String path = exchange.getRequestURI().getPath();
        String method = exchange.getRequestMethod();
        if (cut.contains(node)) {
            while (cut.contains(node)) {
                Thread.sleep(50);
            }
            return;
        }
        if (refused.contains(node)) {
            World.respond(exchange, 503, "{\"error\":\"unavailable\"}");
            return;
        }
        int writes = 0;
        JsonObject json = null;
        if (path.equals("/multi")) {
            json = JsonParser.parseString(body).getAsJsonObject();
            writes = json.has("writes") ? json.getAsJsonArray("writes").size() : 0;
        }
        if (!admit(writes)) {
            World.respond(exchange, 429, "{\"error\":\"too many\"}");
            return;
        }
        Thread.sleep(2);
        if (path.equals("/multi")) {
            if (!filter.usual(node, body)) {
                return;
            }
            String[] answer = multi(json, body.length());
            reply(node, exchange, Integer.parseInt(answer[0]), answer[1]);
        } else if (path.equals("/store")) {
            reply(node, exchange, 200, page(World.query(exchange)));
        } else if (path.startsWith("/store/")) {
            String answer = read(path.substring("/store/".length()));
            reply(node, exchange, answer.startsWith("{\"k\"") ? 200 : 404, answer);
        } else if (path.equals("/changes")) {
            watch(node, exchange, World.query(exchange));
        } else if (path.equals("/holds") && method.equals("POST")) {
            long life = JsonParser.parseString(body).getAsJsonObject().get("lifeMs").getAsLong();
            reply(node, exchange, 200, "{\"permit\":" + createHold(life) + "}");
        } else if (path.startsWith("/holds/") && path.endsWith("/touch")) {
            long hold = Long.parseLong(path.substring(7, path.length() - 6));
            boolean ok = touch(hold);
            if (ok) {
                touched.put(node, hold);
                touchedAt.put(node, world.now());
            }
            reply(node, exchange, ok ? 200 : 404, "{}");
        } else if (path.startsWith("/holds/") && method.equals("DELETE")) {
            endHold(Long.parseLong(path.substring(7)));
            reply(node, exchange, 200, "{}");
        } else {
            reply(node, exchange, 400, "{\"error\":\"malformed\"}");
        }
    }

    /** Answers, unless the node has been cut off meanwhile. */
    private void reply(int node, HttpExchange exchange, int status, String body)
            throws IOException, InterruptedException {
        while (cut.contains(node)) {
            Thread.sleep(50);
        }
        World.respond(exchange, status, body);
    }

    private synchronized boolean admit(int writes) {
        long at = System.nanoTime();
        double passed = (at - tokensAt) / 1e9;
        tokensAt = at;
        requestTokens = Math.min(world.stateRps, requestTokens + passed * world.stateRps);
        writeTokens = Math.min(world.stateWriteRps, writeTokens + passed * world.stateWriteRps);
        if (requestTokens < 1 || (writes > 0 && writeTokens < writes)) {
            limited++;
            return false;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    /** Carries out a transaction; returns the status and the body of the answer. */
    synchronized String[] multi(JsonObject json, int length) {
        JsonArray guards = json.has("guards") ? json.getAsJsonArray("guards") : new JsonArray();
        JsonArray writes = json.has("writes") ? json.getAsJsonArray("writes") : new JsonArray();
        if (length > MAX_BODY || writes.size() > world.txnOps || guards.size() > 4 * world.txnOps) {
            tooLarge++;
            world.note(
                    "state service: 400 for a transaction of %d bytes, %d writes, %d guards",
                    length, writes.size(), guards.size());
            return new String[] {"400", "{\"error\":\"too large\"}"};
        }
        for (JsonElement element : writes) {
            JsonObject write = element.getAsJsonObject();
            if (write.has("set")
                    && write.get("v").toString().getBytes(StandardCharsets.UTF_8).length > world.valueKb * 1024) {
                tooLarge++;
                world.note("state service: 400 for the value of %s", write.get("set").getAsString());
                return new String[] {"400", "{\"error\":\"value too large\"}"};
            }
            if (write.has("permit") && !holds.containsKey(write.get("permit").getAsLong())) {
                return new String[] {"400", "{\"error\":\"no such lease\"}"};
            }
        }
        JsonArray failed = new JsonArray();
        for (JsonElement element : guards) {
            JsonObject guard = element.getAsJsonObject();
            Entry entry = data.get(guard.get("k").getAsString());
            if ((entry == null ? 0 : entry.stamp) != guard.get("stamp").getAsLong()) {
                failed.add(guard.get("k").getAsString());
            }
        }
        if (!failed.isEmpty()) {
            return new String[] {"409", "{\"failed\":" + failed + ",\"edition\":" + edition + "}"};
        }
        if (!writes.isEmpty()) {
            edition++;
            committed++;
            for (JsonElement element : writes) {
                JsonObject write = element.getAsJsonObject();
                if (write.has("set")) {
                    put(
                            write.get("set").getAsString(),
                            write.get("v").toString(),
                            write.has("permit") ? write.get("permit").getAsLong() : 0);
                } else {
                    delete(write.get("delete").getAsString());
                }
            }
            notifyAll();
        }
        return new String[] {"200", "{\"edition\":" + edition + "}"};
    }

    private void put(String key, String value, long permit) {
        Entry entry = data.computeIfAbsent(key, k -> new Entry());
        detach(key, entry);
        entry.value = value;
        entry.stamp = edition;
        entry.permit = permit;
        if (permit != 0) {
            holds.get(permit).keys.add(key);
        }
        logChange(new Change(edition, key, value));
    }

    private void delete(String key) {
        Entry entry = data.remove(key);
        if (entry != null) {
            detach(key, entry);
            logChange(new Change(edition, key, null));
        }
    }

    private void detach(String key, Entry entry) {
        Hold hold = entry.permit == 0 ? null : holds.get(entry.permit);
        if (hold != null) {
            hold.keys.remove(key);
        }
    }

    private void logChange(Change change) {
        changedKeys++;
        changedBytes += change.value == null ? 0 : change.value.length();
        changes.add(change);
        while (changes.size() > KEPT_CHANGES) {
            forgottenUpTo = changes.poll().stamp;
        }
    }

    private synchronized String read(String key) {
        Entry entry = data.get(key);
        if (entry == null) {
            return "{\"edition\":" + edition + "}";
        }
        return "{\"k\":\"" + key + "\",\"v\":" + entry.value + ",\"stamp\":" + entry.stamp
                + (entry.permit == 0 ? "" : ",\"permit\":" + entry.permit) + "}";
    }

    /** For the cases: the value of a key, or null. */
    synchronized JsonObject value(String key) {
        Entry entry = data.get(key);
        return entry == null ? null : JsonParser.parseString(entry.value).getAsJsonObject();
    }

    synchronized int count(String prefix) {
        return data.subMap(prefix, prefix + Character.MAX_VALUE).size();
    }

    private synchronized String page(Map<String, String> query) {
        String prefix = query.get("prefix");
        String since = query.getOrDefault("since", "");
        int limit = Math.min(1000, Integer.parseInt(query.getOrDefault("limit", "1000")));
        StringBuilder text = new StringBuilder("{\"items\":[");
        int count = 0;
        boolean truncated = false;
        for (Map.Entry<String, Entry> e : data.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (e.getKey().compareTo(since) <= 0) {
                continue;
            }
            if (count >= limit || text.length() + e.getValue().value.length() > 500 * 1024) {
                truncated = true;
                break;
            }
            text.append(count++ == 0 ? "" : ",")
                    .append("{\"k\":\"")
                    .append(e.getKey())
                    .append("\",\"v\":")
                    .append(e.getValue().value)
                    .append(",\"stamp\":")
                    .append(e.getValue().stamp)
                    .append('}');
        }
        return text.append("],\"truncated\":")
                .append(truncated)
                .append(",\"edition\":")
                .append(edition)
                .append('}')
                .toString();
    }

    private void watch(int node, HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        String prefix = query.get("prefix");
        long since = Long.parseLong(query.get("since"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("blockMs", "0")) * 1_000_000;
        String answer = null;
        synchronized (this) {
            if (since < forgottenUpTo) {
                answer = "";
            }
            while (answer == null) {
                boolean away = refused.contains(node) || cut.contains(node);
                StringBuilder text = new StringBuilder("{\"edition\":" + edition + ",\"log\":[");
                int count = 0;
                java.util.Iterator<Change> newest = changes.descendingIterator();
                ArrayDeque<Change> found = new ArrayDeque<>();
                while (newest.hasNext()) {
                    Change change = newest.next();
                    if (change.stamp <= since) {
                        break;
                    }
                    if (change.key.startsWith(prefix)) {
                        found.addFirst(change);
                    }
                }
                for (Change change : found) {
                    text.append(count++ == 0 ? "" : ",");
                    if (change.value == null) {
                        text.append("{\"delete\":\"").append(change.key).append("\",\"stamp\":");
                    } else {
                        text.append("{\"set\":\"").append(change.key).append("\",\"v\":").append(change.value);
                        text.append(",\"stamp\":");
                    }
                    text.append(change.stamp).append('}');
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                // During an outage, open watches stay open.
                if (!away && (count > 0 || left <= 0)) {
                    answer = text.append("]}").toString();
                } else {
                    wait(away ? 50 : Math.max(1, left));
                }
            }
        }
        if (answer.length() > 1_000_000) {
            world.note("state service: an answer of %d bytes to a watch of node %d", answer.length(), node);
        }
        reply(node, exchange, answer.isEmpty() ? 410 : 200, answer.isEmpty() ? "{\"error\":\"too old\"}" : answer);
    }

    private synchronized long createHold(long lifeMs) {
        Hold hold = new Hold();
        hold.id = nextHold++;
        hold.lifeMs = lifeMs;
        hold.endsNanos = System.nanoTime() + lifeMs * 1_000_000;
        holds.put(hold.id, hold);
        return hold.id;
    }

    private synchronized boolean touch(long id) {
        Hold hold = holds.get(id);
        if (hold != null) {
            hold.endsNanos = System.nanoTime() + hold.lifeMs * 1_000_000;
        }
        return hold != null;
    }

    /** For the cases: how long a lease still has, in seconds, or -1 if there is none. */
    synchronized double left(long id) {
        Hold hold = holds.get(id);
        return hold == null ? -1 : (hold.endsNanos - System.nanoTime()) / 1e9;
    }

    private synchronized void endHold(long id) {
        Hold hold = holds.remove(id);
        if (hold != null && !hold.keys.isEmpty()) {
            edition++;
            for (String key : List.copyOf(hold.keys)) {
                Entry entry = data.get(key);
                if (entry != null && entry.permit == id) {
                    data.remove(key);
                    logChange(new Change(edition, key, null));
                }
            }
            notifyAll();
        }
    }

    private synchronized void endHolds() {
        long at = System.nanoTime();
        for (Hold hold : List.copyOf(holds.values())) {
            if (hold.endsNanos <= at) {
                world.note("state service: lease %d ends, keys %s", hold.id, hold.keys);
                endHold(hold.id);
            }
        }
    }
}

/** The cloud. */
final class Cloud {
    final World world;
    private final HttpServer[] servers;
    private final TreeMap<String, Worker> machines = new TreeMap<>();
    private final Map<String, String> bookings = new HashMap<>();
    private int issued;
    double boot = 4;
    volatile boolean rents = true;
    final Set<Integer> cut = ConcurrentHashMap.newKeySet();

    Cloud(World world) throws IOException {
        this.world = world;
        servers = new HttpServer[world.nodes];
        for (int i = 0; i < world.nodes; i++) {
            int node = i;
            servers[i] = world.serve((exchange, body) -> {
                while (cut.contains(node)) {
                    Thread.sleep(50);
                }
                handle(exchange, body);
            });
        }
    }

    String address(int node) {
        return "127.0.0.1:" + servers[node].getAddress().getPort();
    }

    synchronized Worker rent(String zone, boolean spot, double bootSeconds) throws IOException {
        String name = String.format(Locale.ROOT, "host-%06d", ++issued);
        Worker worker = new Worker(world, name, zone, spot);
        machines.put(name, worker);
        world.workers.put(name, worker);
        world.timer.schedule(worker::begin, (long) (bootSeconds * 1000), TimeUnit.MILLISECONDS);
        return worker;
    }

    private void handle(HttpExchange exchange, String body) throws IOException, InterruptedException {
        Thread.sleep(20);
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/machine_types")) {
            JsonArray halls = new JsonArray();
            for (String zone : world.zones) {
                halls.add(zone);
            }
            World.respond(
                    exchange,
                    200,
                    "{\"rigs\":[{\"name\":\"" + world.rig + "\",\"vcpus\":" + world.rigCpus + ",\"cards\":0,\"memGb\":"
                            + world.rigMemGb + ",\"localGb\":50,\"fetchGbPerS\":" + world.fetchGbPerS
                            + ",\"hourly\":0.86,\"spotPrice\":0.31,\"bootS\":" + world.bootS + ",\"halls\":" + halls
                            + "}]}");
        } else if (path.equals("/machines") && exchange.getRequestMethod().equals("POST")) {
            JsonObject request = JsonParser.parseString(body).getAsJsonObject();
            String[] answer = book(request);
            World.respond(exchange, Integer.parseInt(answer[0]), answer[1]);
        } else if (path.equals("/machines/return")) {
            for (JsonElement name : JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("boxes")) {
                giveBack(name.getAsString());
            }
            World.respond(exchange, 200, "{}");
        } else if (path.equals("/machines")) {
            World.respond(exchange, 200, list(World.query(exchange)));
        } else {
            World.respond(exchange, 400, "{\"error\":\"malformed\"}");
        }
    }

    private synchronized String[] book(JsonObject request) throws IOException {
        String name = request.get("booking").getAsString();
        if (bookings.containsKey(name)) {
            return new String[] {"200", bookings.get(name)};
        }
        String zone = request.get("hall").getAsString();
        long there = machines.values().stream().filter(w -> w.zone.equals(zone)).count();
        int count = (int) Math.min(request.get("count").getAsInt(), world.maxMachinesPerZone - there);
        if (count <= 0 || !rents) {
            return new String[] {"503", "{\"error\":\"no capacity\"}"};
        }
        JsonArray names = new JsonArray();
        for (int i = 0; i < count; i++) {
            names.add(rent(zone, request.get("borrowed").getAsBoolean(), boot).name);
        }
        bookings.put(name, "{\"boxes\":" + names + "}");
        return new String[] {"200", bookings.get(name)};
    }

    private synchronized void giveBack(String name) {
        Worker worker = machines.remove(name);
        if (worker != null) {
            worker.end();
        }
    }

    private synchronized String list(Map<String, String> query) {
        String since = query.getOrDefault("since", "");
        StringBuilder text = new StringBuilder("{\"boxes\":[");
        int count = 0;
        for (Worker w : machines.tailMap(since, false).values()) {
            text.append(count++ == 0 ? "" : ",")
                    .append("{\"nameId\":\"")
                    .append(w.name)
                    .append("\",\"endpoint\":\"")
                    .append(w.endpoint())
                    .append("\",\"rig\":\"")
                    .append(world.rig)
                    .append("\",\"hall\":\"")
                    .append(w.zone)
                    .append("\",\"borrowed\":")
                    .append(w.spot)
                    .append(",\"status\":\"")
                    .append(w.up ? "running" : "starting")
                    .append("\",\"heldS\":")
                    .append(world.now() - w.since)
                    .append('}');
        }
        return text.append("],\"truncated\":false}").toString();
    }
}

/** A worker on its machine, as the protocol page describes it. */
final class Worker {
    static final class Attempt {
        String task;
        long take;
        String state;
        String cause;
        boolean stored;
        double until;
        double flushUntil;
        boolean counted;
    }

    final World world;
    final String name;
    final String zone;
    final boolean spot;
    final double since;
    private final HttpServer server;
    volatile boolean up;
    private volatile boolean ended;
    private long session = 1;
    private long tally;
    private long baton;
    private double answeredSent;
    private final Map<String, Attempt> attempts = new LinkedHashMap<>();
    private final Set<String> images = new LinkedHashSet<>();
    private final Map<String, Double> fetches = new HashMap<>();
    private boolean changed;
    private volatile int at;
    /** Controllers that this machine can't reach, nor they it. */
    final Set<Integer> unreachable = ConcurrentHashMap.newKeySet();
    /** Whether direct commands are lost. */
    volatile boolean commandsLost;

    Worker(World world, String name, String zone, boolean spot) throws IOException {
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.spot = spot;
        since = world.now();
        server = world.serve(this::handle);
    }

    String endpoint() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    void begin() {
        if (ended) {
            return;
        }
        up = true;
        answeredSent = world.now();
        at = World.RANDOM.nextInt(world.nodes);
        world.threads.execute(this::reports);
        world.timer.scheduleAtFixedRate(this::step, 50, 50, TimeUnit.MILLISECONDS);
    }

    synchronized void end() {
        ended = true;
        killAll("machine gone");
        server.stop(0);
    }

    private void killAll(String why) {
        for (Attempt attempt : attempts.values()) {
            off(attempt, why);
        }
        attempts.clear();
        fetches.clear();
    }

    private void off(Attempt attempt, String why) {
        if (attempt.counted) {
            attempt.counted = false;
            world.taskOff(attempt.task, name, attempt.take, why);
        }
    }

    private JsonObject description(String task) {
        return world.descriptions.get(task.substring(0, task.indexOf('/')));
    }

    /** Lets time pass: the lease, image fetches, runs. */
    private synchronized void step() {
        if (ended) {
            return;
        }
        double now = world.now();
        if (now - answeredSent > world.leaseS) {
            if (!attempts.isEmpty()) {
                world.note("%s: lease is over, session %d ends", name, session);
            }
            killAll("lease over");
            session++;
            tally = 0;
            answeredSent = now;
            changed = true;
            return;
        }
        fetches.entrySet().removeIf(fetch -> {
            if (now >= fetch.getValue()) {
                images.add(fetch.getKey());
                return true;
            }
            return false;
        });
        for (Attempt attempt : attempts.values()) {
            JsonObject job = description(attempt.task);
            if (attempt.state.equals("pulling") && images.contains(job.get("reel").getAsString())) {
                attempt.state = "running";
                attempt.until = now
                        + world.runSeconds.getOrDefault(job.get("nameId").getAsString(), 5.0)
                                * (1 - world.vary + 2 * world.vary * World.RANDOM.nextDouble());
                attempt.counted = true;
                changed = true;
                world.taskOn(attempt.task, name, attempt.take);
            } else if (attempt.state.equals("running") && now >= attempt.until) {
                exit(attempt, world.failing.remove(attempt.task) ? "error" : "done", false);
            } else if (attempt.state.equals("flushing") && now >= attempt.flushUntil) {
                exit(attempt, "stopped", true);
            }
        }
    }

    private void exit(Attempt attempt, String cause, boolean stored) {
        off(attempt, cause);
        attempt.state = "exited";
        attempt.cause = cause;
        attempt.stored = stored;
        changed = true;
    }

    private synchronized String report() {
        tally++;
        changed = false;
        JsonObject json = new JsonObject();
        json.addProperty("box", name);
        json.addProperty("endpoint", endpoint());
        json.addProperty("rig", world.rig);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("shift", session);
        json.addProperty("tally", tally);
        json.addProperty("baton", baton);
        json.add("warningS", com.google.gson.JsonNull.INSTANCE);
        JsonArray shots = new JsonArray();
        for (Attempt attempt : attempts.values()) {
            JsonObject shot = new JsonObject();
            shot.addProperty("shot", attempt.task);
            shot.addProperty("take", attempt.take);
            shot.addProperty("status", attempt.state);
            if (attempt.cause != null) {
                shot.addProperty("cause", attempt.cause);
                shot.addProperty("stored", attempt.stored);
            }
            shots.add(shot);
        }
        json.add("shots", shots);
        return json.toString();
    }

    private synchronized void execute(JsonArray cues) {
        for (JsonElement element : cues) {
            JsonObject cue = element.getAsJsonObject();
            world.note("%s is told %s", name, cue);
            String task = cue.get("shot").getAsString();
            long take = cue.get("take").getAsLong();
            switch (cue.get("cue").getAsString()) {
                case "run" -> run(task, take);
                case "stop" -> stop(task, take, cue.has("fadeS") ? cue.get("fadeS").getAsDouble() : 0);
                default -> {
                    Attempt attempt = attempts.get(task + "#" + take);
                    if (attempt != null && attempt.state.equals("exited")) {
                        attempts.remove(task + "#" + take);
                    }
                }
            }
        }
    }

    private void run(String task, long take) {
        if (attempts.containsKey(task + "#" + take)) {
            return;
        }
        Attempt attempt = new Attempt();
        attempt.task = task;
        attempt.take = take;
        JsonObject job = description(task);
        double cpus = job == null ? 0 : job.get("vcpus").getAsDouble();
        double used = 0;
        boolean other = false;
        for (Attempt a : attempts.values()) {
            if (!a.state.equals("exited")) {
                used += description(a.task).get("vcpus").getAsDouble();
                other |= a.task.equals(task);
            }
        }
        attempts.put(task + "#" + take, attempt);
        if (job == null) {
            exit(attempt, "unknown", false);
        } else if (other) {
            exit(attempt, "busy", false);
        } else if (used + cpus > world.rigCpus + 1e-6) {
            exit(attempt, "no_room", false);
        } else {
            attempt.state = "pulling";
            String image = job.get("reel").getAsString();
            if (!images.contains(image)) {
                fetches.putIfAbsent(image, world.now() + job.get("imageGb").getAsDouble() / world.fetchGbPerS);
            }
            changed = true;
        }
    }

    private void stop(String task, long take, double fade) {
        Attempt attempt = attempts.get(task + "#" + take);
        if (attempt == null || attempt.state.equals("exited")) {
            return;
        }
        JsonObject job = description(task);
        double flush = job.get("flushS").getAsDouble();
        boolean saves = job.get("keyframeS").getAsDouble() > 0 && fade >= flush;
        if (attempt.state.equals("running") && saves) {
            attempt.state = "flushing";
            attempt.flushUntil = world.now() + flush;
            changed = true;
        } else if (!attempt.state.equals("flushing") || fade == 0) {
            exit(attempt, "stopped", false);
        }
    }

    private void handle(HttpExchange exchange, String body) throws IOException {
        if (commandsLost || ended) {
            try {
                Thread.sleep(4000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return;
        }
        if (exchange.getRequestURI().getPath().equals("/status")) {
            World.respond(exchange, 200, report());
            return;
        }
        JsonObject json = JsonParser.parseString(body).getAsJsonObject();
        int status;
        synchronized (this) {
            if (!json.has("baton") || !json.has("shift")) {
                World.respond(exchange, 400, "{}");
                return;
            }
            long token = json.get("baton").getAsLong();
            if (token < baton || json.get("shift").getAsLong() != session) {
                status = 409;
            } else {
                changed |= token > baton;
                baton = token;
                execute(json.getAsJsonArray("cues"));
                status = 200;
            }
        }
        World.respond(exchange, status, report());
    }

    /** The loop of the reports. */
    private void reports() {
        try {
            while (!ended) {
                double sent = world.now();
                long sentSession;
                String body;
                synchronized (this) {
                    sentSession = session;
                    body = report();
                }
                int target = at;
                World.Answer answer;
                if (unreachable.contains(target)) {
                    World.sleep(4);
                    answer = new World.Answer(0, "");
                } else {
                    answer = world.call("POST", world.node[target].bind, "/checkin", body, 4);
                    if (unreachable.contains(target)) {
                        World.sleep(Math.max(0, 4 - (world.now() - sent)));
                        answer = new World.Answer(0, "");
                    }
                }
                if (answer.status() == 200) {
                    accept(answer.body(), sent, sentSession);
                    double interval = world.reportS * (0.75 + World.RANDOM.nextDouble() * 0.5);
                    while (world.now() < sent + interval && !ended) {
                        World.sleep(0.05);
                        boolean news;
                        synchronized (this) {
                            news = changed;
                        }
                        if (news && world.now() > sent + 0.5) {
                            break;
                        }
                    }
                } else if (answer.status() == 421 && director(answer.body()) >= 0 && director(answer.body()) != target) {
                    at = director(answer.body());
                    World.sleep(World.RANDOM.nextDouble() * 0.5);
                } else {
                    at = (target + 1) % world.nodes;
                    World.sleep(1);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private int director(String body) {
        try {
            String director = JsonParser.parseString(body).getAsJsonObject().get("director").getAsString();
            for (Node n : world.node) {
                if (n.name.equals(director)) {
                    return n.index;
                }
            }
        } catch (RuntimeException e) {
            // Names no node.
        }
        return -1;
    }

    private synchronized void accept(String body, double sent, long sentSession) {
        JsonObject json = JsonParser.parseString(body).getAsJsonObject();
        long token = json.has("baton") ? json.get("baton").getAsLong() : -1;
        if (sentSession != session || token < baton || world.now() - sent > 4) {
            return;
        }
        changed |= token > baton;
        baton = token;
        answeredSent = sent;
        execute(json.getAsJsonArray("cues"));
    }

    /** The index of the controller to which this worker reports. */
    int reportsTo() {
        return at;
    }

    synchronized Collection<String> running() {
        List<String> running = new ArrayList<>();
        for (Attempt attempt : attempts.values()) {
            if (attempt.counted) {
                running.add(attempt.task);
            }
        }
        return running;
    }
}
