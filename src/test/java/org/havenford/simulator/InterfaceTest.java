package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.havenford.transport.HttpCalls.Reply;
import org.junit.jupiter.api.Test;

/** Tests the HTTP API of a controller: its replies to users, and to malformed heartbeats. */
class InterfaceTest {
    private final ClusterSimulator world =
            new ClusterSimulator(7, SimulatorSettings.of(0, "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":8}"));

    private Reply ask(String method, String path, String body) {
        Reply[] out = new Reply[1];
        SimulatedNetwork.Request request = new SimulatedNetwork.Request(method, path, body, Duration.ofSeconds(5));
        world.network.call("users", "node-0:1", request, r -> out[0] = r);
        world.runUntil(world.seconds() + 5.1);
        return out[0];
    }

    private void start() {
        world.addNode(SimulatorSettings.of(0, "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":8}"));
        world.runUntil(3);
    }

    private static String job(String id, String team, int tasks, double cpus) {
        SimulatedUsers.Job job = new SimulatedUsers.Job();
        job.id = id;
        job.team = team;
        job.tasks = tasks;
        job.cpus = cpus;
        job.runSeconds = 5;
        job.image = "img-1";
        job.spot = true;
        return SimulatedUsers.body(job).toString();
    }

    @Test
    void whatCannotBeTakenIsAnsweredAtOnce() {
        start();
        assertEquals(200, ask("GET", "/healthz", null).status());
        assertEquals(400, ask("POST", "/submissions", "[]").status());
        assertEquals(400, ask("POST", "/submissions", "{").status());
        assertEquals(400, ask("POST", "/submissions", job("j-1", "red", 0, 1)).status());
        assertEquals(
                422, ask("POST", "/submissions", job("j-1", "nobody", 1, 1)).status());
        assertEquals(422, ask("POST", "/submissions", job("j-1", "red", 1, 9)).status());
        assertEquals(404, ask("GET", "/submissions/j-1", null).status());
        assertEquals(404, ask("GET", "/submissions/..%2fx", null).status());
        assertEquals(404, ask("POST", "/submissions/j-1/abort", null).status());
        assertEquals(400, ask("POST", "/checkin", "{\"box\":7}").status());
    }

    /** Returns a submission of one task in which a field has the given JSON value. */
    private static String with(String id, String field, String value) {
        String job = job(id, "red", 1, 1).replaceFirst("\"" + field + "\":[^,}]*,", "");
        return job.replaceFirst("}$", ",\"" + field + "\":" + value + "}");
    }

    private int submit(String body) {
        return ask("POST", "/submissions", body).status();
    }

    @Test
    void whereASubmissionMayRun() {
        start();
        assertEquals(422, submit(with("j-1", "rigs", "[]")), "an empty list allows no machine type");
        assertEquals(422, submit(with("j-1", "rigs", "[\"none\"]")));
        assertEquals(400, submit(with("j-1", "rigs", "\"small\"")));
        assertEquals(400, submit(with("j-1", "rigs", "[7]")));
        assertEquals(422, submit(with("j-1", "hall", "\"nowhere\"")));
        assertEquals(400, submit(with("j-1", "hall", "7")));
        assertEquals(400, submit(with("j-1", "together", "null")), "null counts as a missing field");
        assertEquals(400, submit(with("j-1", "apart", "\"yes\"")));
        assertEquals(404, ask("GET", "/submissions/j-1", null).status());
        assertEquals(201, submit(with("j-1", "rigs", "[\"small\",\"none\"]")));
        assertEquals(
                200, submit(with("j-1", "hall", "\"nowhere\"")), "already accepted, so the new constraint is ignored");
        String stored = world.store.value("live/job/j-1").toString();
        assertTrue(stored.contains("\"rigs\":[\"small\"]"), stored);
        assertTrue(!stored.contains("nowhere"), stored);
        assertEquals(201, submit(with("j-2", "rigs", "null")), "null allows any machine type");
        assertEquals(201, submit(with("j-3", "hall", "null")), "null allows any zone");
    }

    private static String awaiting(String id, String awaits) {
        return job(id, "red", 1, 1).replaceFirst("}$", ",\"awaits\":" + awaits + "}");
    }

    @Test
    void whatASubmissionMayAwait() {
        start();
        assertEquals(
                400, ask("POST", "/submissions", awaiting("j-1", "\"j-2\"")).status());
        assertEquals(
                400, ask("POST", "/submissions", awaiting("j-1", "[\"train\"]")).status());
        assertEquals(400, ask("POST", "/submissions", awaiting("j-1", "[7]")).status());
        assertEquals(
                400, ask("POST", "/submissions", awaiting("j-1", "[\"j-1\"]")).status());
        assertEquals(
                422, ask("POST", "/submissions", awaiting("j-1", "[\"j-2\"]")).status());
        assertEquals(404, ask("GET", "/submissions/j-1", null).status());
        assertEquals(201, ask("POST", "/submissions", awaiting("j-2", "null")).status());
        assertEquals(
                201,
                ask("POST", "/submissions", awaiting("j-1", "[\"j-2\",\"j-2\"]"))
                        .status());
        assertEquals(
                200, ask("POST", "/submissions", awaiting("j-1", "[\"j-2\"]")).status());
        assertEquals(
                200,
                ask("POST", "/submissions", awaiting("j-1", "[\"j-99\"]")).status(),
                "already accepted, so the new dependency is ignored");
        assertEquals(
                422,
                ask("POST", "/submissions", awaiting("j-3", "[\"j-2\",\"j-98\"]"))
                        .status());
        assertTrue(ask("GET", "/submissions/j-1", null).body().contains("pending"));
        ask("POST", "/submissions/j-2/abort", null);
        assertTrue(ask("GET", "/submissions/j-1", null).body().contains("withdrawn"));
        assertEquals(
                201,
                ask("POST", "/submissions", awaiting("j-4", "[\"j-2\"]")).status(),
                "accepted although its dependency is cancelled");
        assertTrue(ask("GET", "/submissions/j-4", null).body().contains("withdrawn"));
        world.store.outage = true;
        assertEquals(
                503,
                ask("POST", "/submissions", awaiting("j-5", "[\"j-97\"]")).status(),
                "an unknown dependency is not rejected while the store is unavailable");
    }

    /** Submits the pipeline example of README.md, with its team replaced by the one in the settings of this test. */
    @Test
    void thePipelineOfTheReadme() throws IOException {
        start();
        String readme = Files.readString(Path.of("README.md"));
        Matcher job = Pattern.compile("JOB='(.*)'").matcher(readme);
        assertTrue(job.find());
        String fields = job.group(1).replace("desk", "red");
        List<String> bodies = new ArrayList<>();
        Matcher lines = Pattern.compile("curl -d \"(.*)\" http").matcher(readme);
        while (lines.find()) {
            bodies.add(lines.group(1).replace("\\\"", "\"").replace("$JOB", fields));
        }
        assertEquals(2, bodies.size());
        for (String body : bodies) {
            assertEquals(201, ask("POST", "/submissions", body).status(), body);
        }
        assertTrue(ask("GET", "/submissions/j-2", null).body().contains("pending"));
        assertTrue(ask("POST", "/submissions/j-1/abort", null).body().contains("withdrawn"));
        assertTrue(ask("GET", "/submissions/j-2", null).body().contains("withdrawn"));
    }

    /** Verifying 60 dependencies takes more conditions than one transaction may have. */
    @Test
    void aLongListOfAwaitedJobsIsReadInSeveralCalls() {
        start();
        List<String> names = new ArrayList<>();
        for (int i = 100; i < 160; i++) {
            names.add("\"j-" + i + "\"");
            assertEquals(
                    201, ask("POST", "/submissions", job("j-" + i, "red", 1, 1)).status());
        }
        // Cancelled jobs are not held by a restarted controller and can only be found in the store.
        for (int i = 100; i < 160; i++) {
            ask("POST", "/submissions/j-" + i + "/abort", null);
        }
        restart();
        int requests = world.store.requests;
        assertEquals(
                201,
                ask("POST", "/submissions", awaiting("j-1", names.toString())).status());
        assertTrue(world.store.requests - requests >= 3, "60 dependencies at 24 per call need 3 calls");
        assertTrue(ask("GET", "/submissions/j-1", null).body().contains("withdrawn"));
        names.add(30, "\"j-99\"");
        restart();
        assertEquals(
                422,
                ask("POST", "/submissions", awaiting("j-2", names.toString())).status());
        assertEquals(404, ask("GET", "/submissions/j-2", null).status());
        world.store.outage = true;
        assertEquals(
                503,
                ask("POST", "/submissions", awaiting("j-3", names.toString())).status());
    }

    /** Repeats the submission of an accepted job after its dependency was cancelled: the reply is the state of the job. */
    @Test
    void aRepeatIsKnownWhateverBecameOfItsNeeds() {
        start();
        assertEquals(201, ask("POST", "/submissions", job("j-1", "red", 1, 1)).status());
        assertEquals(
                201, ask("POST", "/submissions", awaiting("j-2", "[\"j-1\"]")).status());
        ask("POST", "/submissions/j-1/abort", null);
        restart();
        Reply again = ask("POST", "/submissions", awaiting("j-2", "[\"j-1\"]"));
        assertEquals(200, again.status());
        assertTrue(again.body().contains("withdrawn"), again.body());
        assertTrue(ask("POST", "/submissions/j-2/abort", null).body().contains("withdrawn"));
    }

    private void restart() {
        world.nodes.get("node-0").crash();
        world.nodes.get("node-0").start();
        world.runUntil(world.seconds() + 12);
    }

    @Test
    void aRepeatIsAnsweredWithTheStateAlsoWhenTheJobIsOver() {
        start();
        world.cloud.boot("small", "a", false, Duration.ofMillis(10));
        TraceCommands.run(world, "submit", new TraceArguments(List.of("j-5", "red", "2", "1", "5")));
        world.runUntil(world.seconds() + 60);
        assertEquals(List.of(), world.rules.broken);
        Reply again = ask("POST", "/submissions", job("j-5", "red", 2, 1));
        assertEquals(200, again.status());
        assertTrue(again.body().contains("\"done\""), again.body());
        assertTrue(ask("POST", "/submissions/j-5/abort", null).body().contains("\"done\""));
    }

    /**
     * During an outage of the store, a submission is neither accepted nor held until the outage ends: the reply is 503 at
     * once.
     */
    @Test
    void anOutageIsSaidAtOnce() {
        start();
        world.store.outage = true;
        Reply[] out = new Reply[1];
        SimulatedNetwork.Request request =
                new SimulatedNetwork.Request("POST", "/submissions", job("j-9", "red", 1, 1), Duration.ofSeconds(5));
        world.network.call("users", "node-0:1", request, r -> out[0] = r);
        world.runUntil(world.seconds() + 0.2);
        assertEquals(503, out[0].status());
    }
}
