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
class HttpApiTest {
    private final ClusterSimulator simulator =
            new ClusterSimulator(7, SimulatorSettings.of(0, "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":8}"));

    private Reply send(String method, String path, String body) {
        Reply[] received = new Reply[1];
        SimulatedNetwork.Request request = new SimulatedNetwork.Request(method, path, body, Duration.ofSeconds(5));
        simulator.network.call("users", "node-0:1", request, reply -> received[0] = reply);
        simulator.runUntil(simulator.seconds() + 5.1);
        return received[0];
    }

    private void startController() {
        simulator.addController(SimulatorSettings.of(0, "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":8}"));
        simulator.runUntil(3);
    }

    private static String submission(String id, String team, int tasks, double cpus) {
        SimulatedUsers.Job job = new SimulatedUsers.Job();
        job.id = id;
        job.team = team;
        job.tasks = tasks;
        job.cpus = cpus;
        job.runSeconds = 5;
        job.image = "img-1";
        job.spot = true;
        return SimulatedUsers.submissionJson(job).toString();
    }

    @Test
    void invalidRequestsAreRejected() {
        startController();
        assertEquals(200, send("GET", "/healthz", null).status());
        assertEquals(400, send("POST", "/submissions", "[]").status());
        assertEquals(400, send("POST", "/submissions", "{").status());
        assertEquals(
                400,
                send("POST", "/submissions", submission("j-1", "red", 0, 1)).status());
        assertEquals(
                422,
                send("POST", "/submissions", submission("j-1", "nobody", 1, 1)).status());
        assertEquals(
                422,
                send("POST", "/submissions", submission("j-1", "red", 1, 9)).status());
        assertEquals(404, send("GET", "/submissions/j-1", null).status());
        assertEquals(404, send("GET", "/submissions/..%2fx", null).status());
        assertEquals(404, send("POST", "/submissions/j-1/abort", null).status());
        assertEquals(400, send("POST", "/checkin", "{\"box\":7}").status());
    }

    /** Returns a submission of one task in which a field has the given JSON value. */
    private static String jobWithField(String id, String field, String value) {
        String job = submission(id, "red", 1, 1).replaceFirst("\"" + field + "\":[^,}]*,", "");
        return job.replaceFirst("}$", ",\"" + field + "\":" + value + "}");
    }

    private int submit(String body) {
        return send("POST", "/submissions", body).status();
    }

    @Test
    void placementConstraintsAreValidated() {
        startController();
        assertEquals(422, submit(jobWithField("j-1", "rigs", "[]")), "an empty list allows no machine type");
        assertEquals(422, submit(jobWithField("j-1", "rigs", "[\"none\"]")));
        assertEquals(400, submit(jobWithField("j-1", "rigs", "\"small\"")));
        assertEquals(400, submit(jobWithField("j-1", "rigs", "[7]")));
        assertEquals(422, submit(jobWithField("j-1", "hall", "\"nowhere\"")));
        assertEquals(400, submit(jobWithField("j-1", "hall", "7")));
        assertEquals(400, submit(jobWithField("j-1", "together", "null")), "null counts as a missing field");
        assertEquals(400, submit(jobWithField("j-1", "apart", "\"yes\"")));
        assertEquals(404, send("GET", "/submissions/j-1", null).status());
        assertEquals(201, submit(jobWithField("j-1", "rigs", "[\"small\",\"none\"]")));
        assertEquals(
                200,
                submit(jobWithField("j-1", "hall", "\"nowhere\"")),
                "already accepted, so the new constraint is ignored");
        String stored = simulator.store.value("live/job/j-1").toString();
        assertTrue(stored.contains("\"rigs\":[\"small\"]"), stored);
        assertTrue(!stored.contains("nowhere"), stored);
        assertEquals(201, submit(jobWithField("j-2", "rigs", "null")), "null allows any machine type");
        assertEquals(201, submit(jobWithField("j-3", "hall", "null")), "null allows any zone");
    }

    private static String awaiting(String id, String awaits) {
        return submission(id, "red", 1, 1).replaceFirst("}$", ",\"awaits\":" + awaits + "}");
    }

    @Test
    void dependenciesAreValidated() {
        startController();
        assertEquals(
                400, send("POST", "/submissions", awaiting("j-1", "\"j-2\"")).status());
        assertEquals(
                400,
                send("POST", "/submissions", awaiting("j-1", "[\"train\"]")).status());
        assertEquals(400, send("POST", "/submissions", awaiting("j-1", "[7]")).status());
        assertEquals(
                400, send("POST", "/submissions", awaiting("j-1", "[\"j-1\"]")).status());
        assertEquals(
                422, send("POST", "/submissions", awaiting("j-1", "[\"j-2\"]")).status());
        assertEquals(404, send("GET", "/submissions/j-1", null).status());
        assertEquals(201, send("POST", "/submissions", awaiting("j-2", "null")).status());
        assertEquals(
                201,
                send("POST", "/submissions", awaiting("j-1", "[\"j-2\",\"j-2\"]"))
                        .status());
        assertEquals(
                200, send("POST", "/submissions", awaiting("j-1", "[\"j-2\"]")).status());
        assertEquals(
                200, send("POST", "/submissions", awaiting("j-1", "[\"j-99\"]")).status(), "already accepted");
        assertEquals(
                422,
                send("POST", "/submissions", awaiting("j-3", "[\"j-2\",\"j-98\"]"))
                        .status());
        assertTrue(send("GET", "/submissions/j-1", null).body().contains("pending"));
        send("POST", "/submissions/j-2/abort", null);
        assertTrue(send("GET", "/submissions/j-1", null).body().contains("withdrawn"));
        assertEquals(
                201,
                send("POST", "/submissions", awaiting("j-4", "[\"j-2\"]")).status(),
                "a cancelled dependency does not prevent acceptance");
        assertTrue(send("GET", "/submissions/j-4", null).body().contains("withdrawn"));
        simulator.store.outage = true;
        assertEquals(
                503,
                send("POST", "/submissions", awaiting("j-5", "[\"j-97\"]")).status(),
                "an unknown job is not rejected during an outage");
    }

    /** Submits the pipeline example of README.md, with its team replaced by the one in the settings of this test. */
    @Test
    void readmePipelineExampleIsAccepted() throws IOException {
        startController();
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
            assertEquals(201, send("POST", "/submissions", body).status(), body);
        }
        assertTrue(send("GET", "/submissions/j-2", null).body().contains("pending"));
        assertTrue(send("POST", "/submissions/j-1/abort", null).body().contains("withdrawn"));
        assertTrue(send("GET", "/submissions/j-2", null).body().contains("withdrawn"));
    }

    /** Verifying 60 dependencies takes more conditions than one transaction may have. */
    @Test
    void longListOfDependenciesIsReadInSeveralCalls() {
        startController();
        List<String> names = new ArrayList<>();
        for (int i = 100; i < 160; i++) {
            names.add("\"j-" + i + "\"");
            assertEquals(
                    201,
                    send("POST", "/submissions", submission("j-" + i, "red", 1, 1))
                            .status());
        }
        // Cancelled jobs are not held by a restarted controller and can only be found in the store.
        for (int i = 100; i < 160; i++) {
            send("POST", "/submissions/j-" + i + "/abort", null);
        }
        restartController();
        int requests = simulator.store.requests;
        assertEquals(
                201,
                send("POST", "/submissions", awaiting("j-1", names.toString())).status());
        assertTrue(simulator.store.requests - requests >= 3, "60 dependencies at 24 per call need 3 calls");
        assertTrue(send("GET", "/submissions/j-1", null).body().contains("withdrawn"));
        names.add(30, "\"j-99\"");
        restartController();
        assertEquals(
                422,
                send("POST", "/submissions", awaiting("j-2", names.toString())).status());
        assertEquals(404, send("GET", "/submissions/j-2", null).status());
        simulator.store.outage = true;
        assertEquals(
                503,
                send("POST", "/submissions", awaiting("j-3", names.toString())).status());
    }

    /** Repeats the submission of an accepted job after its dependency was cancelled: the reply is the state of the job. */
    @Test
    void repeatedSubmissionIsAnsweredWithItsStateAfterADependencyWasCancelled() {
        startController();
        assertEquals(
                201,
                send("POST", "/submissions", submission("j-1", "red", 1, 1)).status());
        assertEquals(
                201, send("POST", "/submissions", awaiting("j-2", "[\"j-1\"]")).status());
        send("POST", "/submissions/j-1/abort", null);
        restartController();
        Reply repeated = send("POST", "/submissions", awaiting("j-2", "[\"j-1\"]"));
        assertEquals(200, repeated.status());
        assertTrue(repeated.body().contains("withdrawn"), repeated.body());
        assertTrue(send("POST", "/submissions/j-2/abort", null).body().contains("withdrawn"));
    }

    private void restartController() {
        simulator.controllers.get("node-0").crash();
        simulator.controllers.get("node-0").start();
        simulator.runUntil(simulator.seconds() + 12);
    }

    @Test
    void repeatedSubmissionOfAFinishedJobIsAnsweredWithItsState() {
        startController();
        simulator.cloud.boot("small", "a", false, Duration.ofMillis(10));
        TraceCommands.run(simulator, "submit", new TraceArguments(List.of("j-5", "red", "2", "1", "5")));
        simulator.runUntil(simulator.seconds() + 60);
        assertEquals(List.of(), simulator.invariants.violations);
        Reply repeated = send("POST", "/submissions", submission("j-5", "red", 2, 1));
        assertEquals(200, repeated.status());
        assertTrue(repeated.body().contains("\"done\""), repeated.body());
        assertTrue(send("POST", "/submissions/j-5/abort", null).body().contains("\"done\""));
    }

    /**
     * During an outage of the store, a submission is neither accepted nor held until the outage ends: the reply is 503 at
     * once.
     */
    @Test
    void submissionDuringAStoreOutageIsRejectedAtOnce() {
        startController();
        simulator.store.outage = true;
        Reply[] received = new Reply[1];
        SimulatedNetwork.Request request = new SimulatedNetwork.Request(
                "POST", "/submissions", submission("j-9", "red", 1, 1), Duration.ofSeconds(5));
        simulator.network.call("users", "node-0:1", request, reply -> received[0] = reply);
        simulator.runUntil(simulator.seconds() + 0.2);
        assertEquals(503, received[0].status());
    }
}
