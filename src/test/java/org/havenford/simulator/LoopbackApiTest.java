package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import org.havenford.storage.records.Keys;
import org.havenford.testing.RawHttpConnection;
import org.havenford.transport.HttpCalls.Reply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the answers of a controller process to requests whose body arrives in a packet after the head. */
class LoopbackApiTest {
    private static final String TEAM = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":0}";
    private static final String NO_STANDBY = "<havenford/>";
    private static final double TIMEOUT_SECONDS = 30;
    private static final int HELD_CONNECTIONS = 3000;
    /** The load balancer's timeout of a health check. */
    private static final double HEALTH_CHECK_SECONDS = 1;
    /** How long users wait for the answer to a submission. */
    private static final double USER_SECONDS = 5;

    private static final String NODE = "node-0";

    @TempDir
    Path directory;

    private static String submission(String id, String team) {
        SimulatedUsers.Job job = new SimulatedUsers.Job();
        job.id = id;
        job.team = team;
        job.tasks = 1;
        job.cpus = 1;
        job.runSeconds = 5;
        job.image = "img-č";
        return SimulatedUsers.submissionJson(job).toString();
    }

    /** Sends a request over a connection of its own, while the simulated store and cloud run. */
    private static Reply send(LoopbackCluster loopback, String... packets) throws InterruptedException {
        return loopback.request(NODE, connection -> connection.send(packets), TIMEOUT_SECONDS);
    }

    private static Reply get(LoopbackCluster loopback, String path) throws InterruptedException {
        return send(loopback, RawHttpConnection.head("GET", path));
    }

    private static Reply post(LoopbackCluster loopback, String path, String body) throws InterruptedException {
        return send(
                loopback,
                RawHttpConnection.head("POST", path, "Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length),
                body);
    }

    private static Reply submit(LoopbackCluster loopback, String id, String team) throws InterruptedException {
        return post(loopback, "/submissions", submission(id, team));
    }

    private static void submitInOnePacket(LoopbackCluster loopback, String id) throws InterruptedException {
        String job = submission(id, "red");
        int bytes = job.getBytes(StandardCharsets.UTF_8).length;
        String head = RawHttpConnection.head("POST", "/submissions", "Content-Length: " + bytes);
        assertEquals(201, send(loopback, head + job).status());
    }

    private static void awaitHealthy(LoopbackCluster loopback) throws InterruptedException {
        double end = loopback.seconds() + TIMEOUT_SECONDS;
        boolean healthy = false;
        while (!healthy && loopback.seconds() < end) {
            loopback.runUntil(() -> false, 0.2);
            try {
                healthy = get(loopback, "/healthz").status() == 200;
            } catch (CompletionException e) {
                // The controller does not listen yet.
            }
        }
        assertTrue(healthy, "the controller is not healthy");
    }

    private static boolean isStored(LoopbackCluster loopback, String id) {
        return loopback.simulator.store.values.containsKey(Keys.job(id));
    }

    /** Runs steps on a cluster with one healthy controller. */
    private void onCluster(Steps steps) throws Exception {
        try (LoopbackCluster loopback = new LoopbackCluster(directory, 1, TEAM, NO_STANDBY)) {
            awaitHealthy(loopback);
            steps.run(loopback);
        }
    }

    private interface Steps {
        void run(LoopbackCluster loopback) throws Exception;
    }

    /** Guards against an empty 200, before the job is stored, to a submission whose body arrives after the head. */
    @Test
    @Timeout(120)
    void submissionIsAnsweredOnceItIsStored() throws Exception {
        onCluster(loopback -> {
            assertEquals(new Reply(201, "{\"nameId\":\"j-1\",\"status\":\"pending\"}"), submit(loopback, "j-1", "red"));
            assertTrue(isStored(loopback, "j-1"));
            Reply repeated = submit(loopback, "j-1", "red");
            assertEquals(200, repeated.status());
            assertTrue(repeated.body().contains("pending"), repeated.body());
        });
    }

    /** Guards against an empty 200 to a job that can never run, if its body arrives after the head. */
    @Test
    @Timeout(120)
    void submissionThatCanNeverRunIsRefused() throws Exception {
        onCluster(loopback -> {
            assertEquals(422, submit(loopback, "j-2", "nobody").status());
            assertEquals(400, post(loopback, "/submissions", "[]").status());
            assertEquals(400, post(loopback, "/checkin", "{\"box\":7}").status());
        });
    }

    /** Guards against jobs that are forgotten: answered with an empty 200 during an outage of the store. */
    @Test
    @Timeout(120)
    void submissionDuringAnOutageIsToBeRepeated() throws Exception {
        onCluster(loopback -> {
            loopback.simulator.store.outage = true;
            assertEquals(503, submit(loopback, "j-3", "red").status());
            loopback.simulator.store.outage = false;
            loopback.runUntil(() -> false, 3);
            assertFalse(isStored(loopback, "j-3"));
            assertEquals(404, post(loopback, "/submissions/j-3/abort", "{}").status());
            assertEquals(201, submit(loopback, "j-3", "red").status());
        });
    }

    /** Guards against cancellations that are confirmed with an empty 200 but not stored. */
    @Test
    @Timeout(120)
    void cancellationIsConfirmedOnceItIsStored() throws Exception {
        onCluster(loopback -> {
            submitInOnePacket(loopback, "j-1");
            loopback.simulator.store.outage = true;
            assertEquals(503, post(loopback, "/submissions/j-1/abort", "{}").status());
            assertEquals(503, get(loopback, "/submissions/j-1").status());
            loopback.simulator.store.outage = false;
            loopback.runUntil(() -> false, 3);
            assertEquals(
                    new Reply(200, "{\"nameId\":\"j-1\",\"status\":\"withdrawn\"}"),
                    post(loopback, "/submissions/j-1/abort", "{}"));
        });
    }

    /** Guards against requests that fail without a trace in the log. */
    @Test
    @Timeout(120)
    void cancellationThatBreaksOffIsLoggedAndNotCarriedOut() throws Exception {
        onCluster(loopback -> {
            submitInOnePacket(loopback, "j-1");
            try (RawHttpConnection connection = new RawHttpConnection(loopback.portOf(NODE))) {
                connection.send(RawHttpConnection.head("POST", "/submissions/j-1/abort", "Content-Length: 2"), "{");
            }
            String expectedLine = "exchanges failed: counts={INCOMPLETE_REQUEST=1}";
            loopback.runUntil(() -> log(loopback).contains(expectedLine), TIMEOUT_SECONDS);
            assertTrue(log(loopback).contains(expectedLine), log(loopback));
            assertTrue(get(loopback, "/submissions/j-1").body().contains("pending"));
        });
    }

    /** Guards against clients that send half of a body and so block a controller, or exhaust its memory. */
    @Test
    @Timeout(120)
    void usersAreAnsweredBesideThousandsOfHalfSentSubmissions() throws Exception {
        onCluster(loopback -> {
            List<RawHttpConnection> held = new CopyOnWriteArrayList<>();
            CompletableFuture<Void> holding = CompletableFuture.runAsync(() -> hold(loopback, held));
            assertTrue(loopback.runUntil(holding::isDone, TIMEOUT_SECONDS), "the controller accepts no connections");
            holding.join();
            for (int i = 1; i <= 5; i++) {
                double start = loopback.seconds();
                assertEquals(200, get(loopback, "/healthz").status());
                assertTrue(loopback.seconds() - start < HEALTH_CHECK_SECONDS);
                assertEquals(201, submit(loopback, "j-" + i, "red").status());
                assertTrue(loopback.seconds() - start < USER_SECONDS);
            }
            for (RawHttpConnection connection : held) {
                connection.close();
            }
        });
    }

    private static void hold(LoopbackCluster loopback, List<RawHttpConnection> held) {
        String head = RawHttpConnection.head("POST", "/submissions", "Content-Length: 60000");
        for (int i = 0; i < HELD_CONNECTIONS; i++) {
            try {
                RawHttpConnection connection = new RawHttpConnection(loopback.portOf(NODE));
                held.add(connection);
                connection.send(head + " ".repeat(30_000));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    /** Guards against a cancellation limit that no membership lease keeps, and that nothing says so. */
    @Test
    @Timeout(120)
    void aCancellationLimitBelowTheAgentLeaseIsNamedOnceAtTheStartAndServed() throws Exception {
        String agents = "{\"report_s\":3,\"lease_s\":26,\"cancel_s\":20}";
        try (LoopbackCluster loopback = new LoopbackCluster(directory, 1, TEAM, agents, NO_STANDBY)) {
            awaitHealthy(loopback);
            submitInOnePacket(loopback, "j-1");
            String line =
                    "cancelled tasks may outlive the cancellation limit on machines that are cut off, as no membership"
                            + " lease is short enough: cancelS=20.0 agentLeaseS=26.0 requiredCancelS=29.026 membershipLeaseS=8.0";
            assertEquals(
                    1,
                    log(loopback)
                            .lines()
                            .filter(logged -> logged.contains(line))
                            .count(),
                    log(loopback));
        }
    }

    private static String log(LoopbackCluster loopback) {
        try {
            return loopback.controllers.get(NODE).log();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
