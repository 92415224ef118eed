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
 * One controller between a state service and a cloud that answer as fixed, asked by users and workers: its answers, and the
 * calls that it makes. It is reached by its requests alone. The time of day stands still, and what is guarded has fixed
 * stamps, so that nothing here depends on how many steps the controller takes.
 */
final class GoldenConversation implements EventLoop, HttpCalls {
    private static final Instant AT = Instant.ofEpochMilli(1_700_000_000_000L);
    private static final String NODE = "node-0";
    private static final long INCARNATION = 7;
    private static final long VIEW_STAMP = 12;
    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final Duration WATCH = Duration.ofMillis(100);
    private static final Duration PATIENCE = Duration.ofSeconds(3);
    private static final String STATE_SERVICE = "state:1";

    private record Timer(Instant due, long number, Runnable task) {}

    private record Value(JsonElement value, long stamp) {}

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
            new PriorityQueue<>(Comparator.comparing(Timer::due).thenComparing(Timer::number));
    private final TreeMap<String, Value> values = new TreeMap<>();
    private final List<Call> calls = new ArrayList<>();
    private final Map<String, JsonElement> answers = new LinkedHashMap<>();
    private final Controller controller;
    private Instant now = AT;
    private long timerCount;
    private long edition = 100;

    GoldenConversation() throws MalformedMessageException {
        store(
                Keys.VIEW,
                new ClusterView(
                                4,
                                new TreeMap<>(Map.of(NODE, INCARNATION, "node-1", 5L)),
                                new TreeMap<>(Map.of("host-000001", NODE, "host-000002", "node-1")),
                                new TreeSet<>())
                        .toJson(),
                VIEW_STAMP);
        store(Keys.member("node-1"), JsonParser.parseString("{\"incarnation\":5,\"format\":3}"), 13);
        Job running = job("j-1");
        store(Keys.job("j-1"), running.header(false), 20);
        TaskRange taskRange = running.emptyTaskRange(0);
        taskRange.claim(0, "host-000001", 1, AT, "");
        taskRange.claim(1, "host-000001", 1, AT, "");
        taskRange.finish(1, 2, 30);
        store(Keys.tasks("j-1", 0), taskRange.toJson(), 21);
        store(Keys.job("j-6"), job("j-6").header(false), 22);
        store(Keys.finalState("j-3"), FinalState.of(FinalState.Status.DONE, 6).toJson(), 23);
        store(
                Keys.finalState("j-4"),
                FinalState.of(FinalState.Status.CANCELLED, 6).toJson(),
                24);
        store(
                Keys.batch("r-1"),
                MachineBatch.of("r-1", "small", "a", true, AT, List.of("host-000001", "host-000002"))
                        .toJson(),
                25);
        controller = new Controller(this, this, settings(), OperatorSettings.DEFAULTS);
    }

    private static PlatformSettings settings() throws MalformedMessageException {
        return PlatformSettings.parse("{\"node_name\":\"node-0\",\"location\":\"a\",\"bind\":\"node-0:1\","
                + "\"cluster_listen\":\"node-0:2\",\"others\":[{\"node_name\":\"node-1\",\"location\":\"b\","
                + "\"peer_addr\":\"node-1:2\"}],\"endpoints\":{\"cloud\":\"cloud:1\",\"state\":\"" + STATE_SERVICE
                + "\"},\"deployment\":{\"teams\":[{\"name\":\"red\"}],"
                + "\"workers\":{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44},"
                + "\"state\":{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12},"
                + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}");
    }

    private static Job job(String id) throws MalformedMessageException {
        return new Job(JobSpec.parse(JobSamples.submission(id, 3, 1)), AT, 16, false);
    }

    private void store(String key, JsonElement value, long stamp) {
        values.put(key, new Value(GoldenFiles.reread(value), stamp));
    }

    // ---- the conversation

    /** Holds the conversation; the answers and the calls are known afterwards. */
    GoldenConversation held() {
        ask("health-before-start", "GET", "/healthz", "");
        String submission = JobSamples.submission("j-2", 4, 2).toString();
        ask("submission-before-start", "POST", "/submissions", submission);
        ask("report-before-start", "POST", "/checkin", report("host-000001", 1, ""));
        controller.start();
        run(Duration.ofSeconds(4));
        ask("health", "GET", "/healthz", "");
        ask("submission-accepted", "POST", "/submissions", submission);
        ask("submission-repeated", "POST", "/submissions", submission);
        ask("submission-malformed", "POST", "/submissions", "{\"nameId\":7}");
        ask(
                "submission-of-unknown-team",
                "POST",
                "/submissions",
                submission.replace("\"red\"", "\"none\"").replace("j-2", "j-5"));
        ask(
                "submission-too-large-a-task",
                "POST",
                "/submissions",
                submission.replace("\"vcpus\":2.0", "\"vcpus\":200").replace("j-2", "j-5"));
        ask("job-pending", "GET", "/submissions/j-2", "");
        ask("job-running", "GET", "/submissions/j-1", "");
        ask("job-done", "GET", "/submissions/j-3", "");
        ask("job-withdrawn", "GET", "/submissions/j-4", "");
        ask("job-unknown", "GET", "/submissions/j-5", "");
        ask("abort", "POST", "/submissions/j-6/abort", "");
        ask("job-being-cancelled", "GET", "/submissions/j-6", "");
        ask("abort-repeated", "POST", "/submissions/j-6/abort", "");
        ask("abort-of-done", "POST", "/submissions/j-3/abort", "");
        ask("abort-of-unknown", "POST", "/submissions/j-5/abort", "");
        ask("path-unknown", "GET", "/nowhere", "");
        ask("method-not-allowed", "DELETE", "/submissions/j-1", "");
        ask("report-malformed", "POST", "/checkin", "{\"box\":7}");
        ask("report-to-another", "POST", "/checkin", report("host-000002", 1, ""));
        ask(
                "report-with-cues",
                "POST",
                "/checkin",
                report(
                        "host-000001",
                        2,
                        "{\"shot\":\"j-9/0\",\"take\":1,\"status\":\"running\"},"
                                + "{\"shot\":\"j-9/1\",\"take\":2,\"status\":\"exited\",\"cause\":\"done\"}"));
        // The machine is up now, and takes the task that is left of j-1.
        run(Duration.ofSeconds(1));
        ask("report-late-copy", "POST", "/checkin", report("host-000001", 1, ""));
        return this;
    }

    private static String report(String machine, int tally, String shots) {
        return "{\"box\":\"" + machine + "\",\"endpoint\":\"10.1.0.1:9000\",\"rig\":\"small\",\"hall\":\"a\","
                + "\"borrowed\":true,\"shift\":1,\"tally\":" + tally + ",\"baton\":0,\"warningS\":null,\"shots\":["
                + shots
                + "]}";
    }

    private void ask(String name, String method, String path, String body) {
        Response[] response = new Response[1];
        controller.handle(new Request(method, path, body.getBytes(StandardCharsets.UTF_8)), r -> response[0] = r);
        Instant end = now.plus(PATIENCE);
        while (response[0] == null && !timers.isEmpty() && now.isBefore(end)) {
            runNext();
        }
        JsonObject answer = new JsonObject();
        answer.addProperty("status", response[0].status());
        answer.add("body", JsonParser.parseString(response[0].body()));
        answer.addProperty("close", response[0].close());
        if (response[0].retryAfter() != null) {
            answer.addProperty("retryAfterS", response[0].retryAfter().toSeconds());
        }
        answers.put(name, answer);
    }

    /** What was asked, by name, and how it was answered. */
    Map<String, JsonElement> answers() {
        return answers;
    }

    /** The calls that the controller made, one of each kind. */
    Map<String, JsonElement> calls() {
        Map<String, JsonElement> out = new LinkedHashMap<>();
        out.put("controller-lease", first(c -> c.path().equals("/holds")));
        out.put("controller-first-page", first(c -> c.path().startsWith("/store?")));
        out.put("controller-first-watch", first(c -> c.path().startsWith("/changes?")));
        out.put("controller-registration", firstSetting(Keys.member(NODE)));
        out.put(
                "controller-comparison-of-view",
                first(c -> c.path().equals("/multi") && writes(c).isEmpty()));
        out.put("controller-types", firstSetting(Keys.TYPES));
        out.put("controller-acceptance", firstSetting(Keys.job("j-2")));
        out.put("controller-cancellation", firstSetting(Keys.job("j-6")));
        out.put("controller-final-state", first(c -> c.path().equals("/store/" + Keys.finalState("j-3"))));
        out.put("controller-claim", firstSetting(Keys.tasks("j-1", 0)));
        out.put("cloud-types", first(c -> c.path().equals("/machine_types")));
        out.put("cloud-list", first(c -> c.path().startsWith("/machines?")));
        return out;
    }

    private JsonElement firstSetting(String key) {
        return first(c -> c.path().equals("/multi") && writes(c).contains(key));
    }

    private static List<String> writes(Call call) {
        List<String> keys = new ArrayList<>();
        for (JsonElement write : call.body().getAsJsonObject().getAsJsonArray("writes")) {
            JsonElement set = write.getAsJsonObject().get("set");
            if (set != null) {
                keys.add(set.getAsString());
            }
        }
        return keys;
    }

    private JsonElement first(Predicate<Call> kind) {
        return calls.stream().filter(kind).findFirst().orElseThrow().toJson();
    }

    // ---- the loop

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public Instant timeOfDay() {
        return AT;
    }

    @Override
    public void after(Duration delay, Runnable task) {
        timers.add(new Timer(now.plus(delay), timerCount++, task));
    }

    private void run(Duration time) {
        Instant end = now.plus(time);
        while (!timers.isEmpty() && !timers.peek().due().isAfter(end)) {
            runNext();
        }
        now = end;
    }

    private void runNext() {
        Timer timer = timers.poll();
        now = now.isBefore(timer.due()) ? timer.due() : now;
        timer.task().run();
    }

    // ---- the other sides

    @Override
    public void call(String address, String method, String path, String body, Duration timeout, Consumer<Reply> done) {
        calls.add(new Call(method, path, body == null ? JsonNull.INSTANCE : JsonParser.parseString(body)));
        // A watch is answered with what has changed by then.
        Duration delay = path.startsWith("/changes") && !path.endsWith("=0") ? WATCH : LATENCY;
        after(delay, () -> done.accept(address.equals(STATE_SERVICE) ? stateService(path, body) : others(path)));
    }

    private Reply others(String path) {
        if (path.equals("/machine_types")) {
            return new Reply(200, MachineType.toJson(GoldenStoredValues.types()).toString());
        }
        return path.startsWith("/machines?")
                ? new Reply(200, "{\"boxes\":[],\"truncated\":false}")
                : new Reply(503, "{\"error\":\"no capacity\"}");
    }

    private Reply stateService(String path, String body) {
        if (path.equals("/holds")) {
            return new Reply(200, "{\"permit\":" + INCARNATION + "}");
        } else if (path.startsWith("/store?")) {
            return new Reply(200, "{\"items\":" + items() + ",\"truncated\":false,\"edition\":" + edition + "}");
        } else if (path.startsWith("/changes")) {
            return new Reply(200, "{\"edition\":" + edition + ",\"log\":[]}");
        } else if (path.startsWith("/store/")) {
            Value value = values.get(path.substring("/store/".length()));
            return value == null
                    ? new Reply(404, "{\"edition\":" + edition + "}")
                    : new Reply(200, "{\"v\":" + value.value() + ",\"stamp\":" + value.stamp() + "}");
        } else if (path.equals("/multi")) {
            return committed(JsonParser.parseString(body).getAsJsonObject());
        }
        return new Reply(200, "{}");
    }

    private JsonArray items() {
        JsonArray items = new JsonArray();
        values.forEach((key, value) -> {
            if (key.startsWith(Keys.REPLICATED)) {
                JsonObject item = new JsonObject();
                item.addProperty("k", key);
                item.add("v", value.value());
                item.addProperty("stamp", value.stamp());
                items.add(item);
            }
        });
        return items;
    }

    private Reply committed(JsonObject transaction) {
        JsonArray failed = new JsonArray();
        for (JsonElement guard : transaction.getAsJsonArray("guards")) {
            String key = guard.getAsJsonObject().get("k").getAsString();
            long stamp = values.containsKey(key) ? values.get(key).stamp() : 0;
            if (guard.getAsJsonObject().get("stamp").getAsLong() != stamp) {
                failed.add(key);
            }
        }
        if (!failed.isEmpty()) {
            return new Reply(409, "{\"failed\":" + failed + ",\"edition\":" + edition + "}");
        }
        for (JsonElement write : transaction.getAsJsonArray("writes")) {
            JsonObject change = write.getAsJsonObject();
            if (change.has("set")) {
                values.put(change.get("set").getAsString(), new Value(change.get("v"), edition + 1));
            } else {
                values.remove(change.get("delete").getAsString());
            }
        }
        edition += transaction.getAsJsonArray("writes").isEmpty() ? 0 : 1;
        return new Reply(200, "{\"edition\":" + edition + "}");
    }
}
