package org.havenford.golden;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.havenford.controller.Controller;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.MachineBatch;
import org.havenford.storage.records.TaskRange;
import org.havenford.testing.JobSamples;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.havenford.transport.HttpServer.Request;
import org.havenford.transport.HttpServer.Response;

/**
 * A scripted conversation of users and agents with one controller, whose store and cloud are fakes with fixed responses.
 * Records the controller's responses and the calls that it makes. The script uses only the controller's HTTP interface.
 * The time of day does not advance, and keys that transactions compare start with fixed mod revisions, so the result does
 * not depend on the number of steps that the controller takes.
 */
final class GoldenConversation implements EventLoop, HttpCalls {
    private static final Instant TIME_OF_DAY = Instant.ofEpochMilli(1_700_000_000_000L);
    private static final String NODE = "node-0";
    private static final long INCARNATION = 7;
    private static final long VIEW_REVISION = 12;
    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final Duration WATCH_DELAY = Duration.ofMillis(100);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);
    private static final String STORE_ADDRESS = "state:1";

    private record Timer(Instant due, long sequence, Runnable task) {}

    private record StoredValue(JsonElement value, long modRevision) {}

    private record Call(String method, String path, JsonElement body) {
        JsonObject toJson() {
            JsonObject json = new JsonObject();
            json.addProperty("method", method);
            json.addProperty("path", path);
            json.add("body", body);
            return json;
        }
    }

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>(Comparator.comparing(Timer::due).thenComparing(Timer::sequence));
    private final TreeMap<String, StoredValue> values = new TreeMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final Map<String, JsonElement> responses = new LinkedHashMap<>();
    private final Controller controller;
    private Instant now = TIME_OF_DAY;
    private long timerCount;
    private long revision = 100;

    GoldenConversation() throws MalformedMessageException {
        putStored(
                Keys.VIEW,
                new ClusterView(
                                4,
                                new TreeMap<>(Map.of(NODE, INCARNATION, "node-1", 5L)),
                                new TreeMap<>(Map.of("host-000001", NODE, "host-000002", "node-1")),
                                new TreeSet<>())
                        .toJson(),
                VIEW_REVISION);
        putStored(Keys.member("node-1"), JsonParser.parseString("{\"incarnation\":5,\"format\":3}"), 13);
        Job runningJob = job("j-1");
        putStored(Keys.job("j-1"), runningJob.header(false), 20);
        TaskRange taskRange = runningJob.emptyTaskRange(0);
        taskRange.claim(0, "host-000001", 1, TIME_OF_DAY, "");
        taskRange.claim(1, "host-000001", 1, TIME_OF_DAY, "");
        taskRange.finish(1, 2, 30);
        putStored(Keys.tasks("j-1", 0), taskRange.toJson(), 21);
        putStored(Keys.job("j-6"), job("j-6").header(false), 22);
        putStored(
                Keys.finalState("j-3"), FinalState.of(FinalState.Status.DONE, 6).toJson(), 23);
        putStored(
                Keys.finalState("j-4"),
                FinalState.of(FinalState.Status.CANCELLED, 6).toJson(),
                24);
        putStored(
                Keys.batch("r-1"),
                MachineBatch.of("r-1", "small", "a", true, TIME_OF_DAY, List.of("host-000001", "host-000002"))
                        .toJson(),
                25);
        controller = new Controller(this, this, settings(), OperatorSettings.DEFAULTS);
    }

    private static PlatformSettings settings() throws MalformedMessageException {
        return PlatformSettings.parse("{\"node_name\":\"node-0\",\"location\":\"a\",\"bind\":\"node-0:1\","
                + "\"cluster_listen\":\"node-0:2\",\"others\":[{\"node_name\":\"node-1\",\"location\":\"b\","
                + "\"peer_addr\":\"node-1:2\"}],\"endpoints\":{\"cloud\":\"cloud:1\",\"state\":\"" + STORE_ADDRESS
                + "\"},\"deployment\":{\"teams\":[{\"name\":\"red\"}],"
                + "\"workers\":{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44},"
                + "\"state\":{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12},"
                + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}");
    }

    private static Job job(String id) throws MalformedMessageException {
        return new Job(JobSpec.parse(JobSamples.submission(id, 3, 1)), TIME_OF_DAY, 16, false);
    }

    private void putStored(String key, JsonElement value, long modRevision) {
        values.put(key, new StoredValue(GoldenFiles.reparse(value), modRevision));
    }

    /** Runs the script; the responses and the calls are available afterwards. */
    GoldenConversation runScript() {
        request("health-before-start", "GET", "/healthz", "");
        String submission = JobSamples.submission("j-2", 4, 2).toString();
        request("submission-before-start", "POST", "/submissions", submission);
        request("report-before-start", "POST", "/checkin", heartbeat("host-000001", 1, ""));
        controller.start();
        runFor(Duration.ofSeconds(4));
        request("health", "GET", "/healthz", "");
        request("submission-accepted", "POST", "/submissions", submission);
        request("submission-repeated", "POST", "/submissions", submission);
        request("submission-malformed", "POST", "/submissions", "{\"nameId\":7}");
        request(
                "submission-of-unknown-team",
                "POST",
                "/submissions",
                submission.replace("\"red\"", "\"none\"").replace("j-2", "j-5"));
        request(
                "submission-too-large-a-task",
                "POST",
                "/submissions",
                submission.replace("\"vcpus\":2.0", "\"vcpus\":200").replace("j-2", "j-5"));
        request("job-pending", "GET", "/submissions/j-2", "");
        request("job-running", "GET", "/submissions/j-1", "");
        request("job-done", "GET", "/submissions/j-3", "");
        request("job-withdrawn", "GET", "/submissions/j-4", "");
        request("job-unknown", "GET", "/submissions/j-5", "");
        request("abort", "POST", "/submissions/j-6/abort", "");
        request("job-being-cancelled", "GET", "/submissions/j-6", "");
        request("abort-repeated", "POST", "/submissions/j-6/abort", "");
        request("abort-of-done", "POST", "/submissions/j-3/abort", "");
        request("abort-of-unknown", "POST", "/submissions/j-5/abort", "");
        request("path-unknown", "GET", "/nowhere", "");
        request("method-not-allowed", "DELETE", "/submissions/j-1", "");
        request("report-malformed", "POST", "/checkin", "{\"box\":7}");
        request("report-to-another", "POST", "/checkin", heartbeat("host-000002", 1, ""));
        request(
                "report-with-cues",
                "POST",
                "/checkin",
                heartbeat(
                        "host-000001",
                        2,
                        "{\"shot\":\"j-9/0\",\"take\":1,\"status\":\"running\"},"
                                + "{\"shot\":\"j-9/1\",\"take\":2,\"status\":\"exited\",\"cause\":\"done\"}"));
        // The machine is up now, and the remaining task of j-1 is claimed for it.
        runFor(Duration.ofSeconds(1));
        request("report-late-copy", "POST", "/checkin", heartbeat("host-000001", 1, ""));
        return this;
    }

    private static String heartbeat(String machine, int sequence, String attempts) {
        return "{\"box\":\"" + machine + "\",\"endpoint\":\"10.1.0.1:9000\",\"rig\":\"small\",\"hall\":\"a\","
                + "\"borrowed\":true,\"shift\":1,\"tally\":" + sequence + ",\"baton\":0,\"warningS\":null,\"shots\":["
                + attempts
                + "]}";
    }

    private void request(String name, String method, String path, String body) {
        Response[] received = new Response[1];
        controller.handle(new Request(method, path, body.getBytes(StandardCharsets.UTF_8)), r -> received[0] = r);
        Instant end = now.plus(RESPONSE_TIMEOUT);
        while (received[0] == null && !timers.isEmpty() && now.isBefore(end)) {
            runNextTimer();
        }
        JsonObject recorded = new JsonObject();
        recorded.addProperty("status", received[0].status());
        recorded.add("body", JsonParser.parseString(received[0].body()));
        recorded.addProperty("close", received[0].close());
        if (received[0].retryAfter() != null) {
            recorded.addProperty("retryAfterS", received[0].retryAfter().toSeconds());
        }
        responses.put(name, recorded);
    }

    /** Returns the responses by the name of their request. */
    Map<String, JsonElement> responses() {
        return responses;
    }

    /** Returns the first call of each kind that the controller made, by name. */
    Map<String, JsonElement> calls() {
        Map<String, JsonElement> out = new LinkedHashMap<>();
        out.put("controller-lease", firstCall(c -> c.path().equals("/holds")));
        out.put("controller-first-page", firstCall(c -> c.path().startsWith("/store?")));
        out.put("controller-first-watch", firstCall(c -> c.path().startsWith("/changes?")));
        out.put("controller-registration", firstPut(Keys.member(NODE)));
        out.put(
                "controller-comparison-of-view",
                firstCall(c -> c.path().equals("/multi") && keysPut(c).isEmpty()));
        out.put("controller-types", firstPut(Keys.TYPES));
        out.put("controller-acceptance", firstPut(Keys.job("j-2")));
        out.put("controller-cancellation", firstPut(Keys.job("j-6")));
        out.put("controller-final-state", firstCall(c -> c.path().equals("/store/" + Keys.finalState("j-3"))));
        out.put("controller-claim", firstPut(Keys.tasks("j-1", 0)));
        out.put("cloud-types", firstCall(c -> c.path().equals("/machine_types")));
        out.put("cloud-list", firstCall(c -> c.path().startsWith("/machines?")));
        return out;
    }

    private JsonElement firstPut(String key) {
        return firstCall(c -> c.path().equals("/multi") && keysPut(c).contains(key));
    }

    private static List<String> keysPut(Call call) {
        List<String> keys = new ArrayList<>();
        for (JsonElement write : call.body().getAsJsonObject().getAsJsonArray("writes")) {
            JsonElement key = write.getAsJsonObject().get("set");
            if (key != null) {
                keys.add(key.getAsString());
            }
        }
        return keys;
    }

    private JsonElement firstCall(Predicate<Call> kind) {
        return calls.stream().filter(kind).findFirst().orElseThrow().toJson();
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public Instant timeOfDay() {
        return TIME_OF_DAY;
    }

    @Override
    public void after(Duration delay, Runnable task) {
        timers.add(new Timer(now.plus(delay), timerCount++, task));
    }

    private void runFor(Duration time) {
        Instant end = now.plus(time);
        while (!timers.isEmpty() && !timers.peek().due().isAfter(end)) {
            runNextTimer();
        }
        now = end;
    }

    private void runNextTimer() {
        Timer timer = timers.poll();
        now = now.isBefore(timer.due()) ? timer.due() : now;
        timer.task().run();
    }

    @Override
    public void call(
            String address, String method, String path, String body, Duration timeout, Consumer<Reply> callback) {
        calls.add(new Call(method, path, body == null ? JsonNull.INSTANCE : JsonParser.parseString(body)));
        // A watch that may block is answered after a delay.
        Duration delay = path.startsWith("/changes") && !path.endsWith("=0") ? WATCH_DELAY : LATENCY;
        after(delay, () -> callback.accept(address.equals(STORE_ADDRESS) ? storeReply(path, body) : cloudReply(path)));
    }

    private Reply cloudReply(String path) {
        if (path.equals("/machine_types")) {
            return new Reply(200, MachineType.toJson(GoldenStoredValues.types()).toString());
        }
        return path.startsWith("/machines?")
                ? new Reply(200, "{\"boxes\":[],\"truncated\":false}")
                : new Reply(503, "{\"error\":\"no capacity\"}");
    }

    private Reply storeReply(String path, String body) {
        if (path.equals("/holds")) {
            return new Reply(200, "{\"permit\":" + INCARNATION + "}");
        } else if (path.startsWith("/store?")) {
            return new Reply(
                    200, "{\"items\":" + replicatedItems() + ",\"truncated\":false,\"edition\":" + revision + "}");
        } else if (path.startsWith("/changes")) {
            return new Reply(200, "{\"edition\":" + revision + ",\"log\":[]}");
        } else if (path.startsWith("/store/")) {
            StoredValue value = values.get(path.substring("/store/".length()));
            return value == null
                    ? new Reply(404, "{\"edition\":" + revision + "}")
                    : new Reply(200, "{\"v\":" + value.value() + ",\"stamp\":" + value.modRevision() + "}");
        } else if (path.equals("/multi")) {
            return commit(JsonParser.parseString(body).getAsJsonObject());
        }
        return new Reply(200, "{}");
    }

    private JsonArray replicatedItems() {
        JsonArray items = new JsonArray();
        values.forEach((key, value) -> {
            if (key.startsWith(Keys.REPLICATED)) {
                JsonObject item = new JsonObject();
                item.addProperty("k", key);
                item.add("v", value.value());
                item.addProperty("stamp", value.modRevision());
                items.add(item);
            }
        });
        return items;
    }

    private Reply commit(JsonObject transaction) {
        JsonArray failed = new JsonArray();
        for (JsonElement guard : transaction.getAsJsonArray("guards")) {
            String key = guard.getAsJsonObject().get("k").getAsString();
            long modRevision = values.containsKey(key) ? values.get(key).modRevision() : 0;
            if (guard.getAsJsonObject().get("stamp").getAsLong() != modRevision) {
                failed.add(key);
            }
        }
        if (!failed.isEmpty()) {
            return new Reply(409, "{\"failed\":" + failed + ",\"edition\":" + revision + "}");
        }
        for (JsonElement write : transaction.getAsJsonArray("writes")) {
            JsonObject change = write.getAsJsonObject();
            if (change.has("set")) {
                values.put(change.get("set").getAsString(), new StoredValue(change.get("v"), revision + 1));
            } else {
                values.remove(change.get("delete").getAsString());
            }
        }
        revision += transaction.getAsJsonArray("writes").isEmpty() ? 0 : 1;
        return new Reply(200, "{\"edition\":" + revision + "}");
    }
}
