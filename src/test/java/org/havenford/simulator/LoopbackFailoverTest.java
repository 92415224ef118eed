package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Kills one controller process and suspends another during a burst of submissions, and checks that every task completes and
 * starts exactly once. Times are not asserted, since they depend on the machine.
 */
class LoopbackFailoverTest {
    @TempDir
    Path directory;

    @Test
    @Timeout(240)
    void queuedTasksSurviveKilledAndSuspendedControllers() throws Exception {
        try (LoopbackCluster loopback = SubmissionBurst.start(directory, SubmissionBurst.STANDBY_ON, 18)) {
            sendMalformedFrames(loopback);
            SubmissionBurst.submit(loopback, 100, 3);
            awaitStarts(loopback, SubmissionBurst.TASKS / 8);

            loopback.controllers.get("node-0").kill();
            awaitEvictions(loopback, 1);
            loopback.controllers.get("node-0").start();

            awaitStarts(loopback, SubmissionBurst.TASKS / 2);
            loopback.controllers.get("node-1").suspend();
            awaitEvictions(loopback, 2);
            loopback.controllers.get("node-1").resume();

            assertTrue(
                    loopback.runUntil(() -> SubmissionBurst.allDone(loopback), 3 * SubmissionBurst.TIMEOUT_SECONDS),
                    () -> loopback.simulator.users.completedTasks.size() + " done\n"
                            + String.join("\n", loopback.simulator.log));
            loopback.runUntil(() -> false, 2);
            assertEquals(List.of(), loopback.simulator.invariants.violations);
            assertEquals(SubmissionBurst.TASKS, loopback.simulator.users.completedTasks.size());
            assertEquals(
                    SubmissionBurst.TASKS, loopback.simulator.invariants.starts, "a task was started more than once");
        }
    }

    private static void awaitStarts(LoopbackCluster loopback, int count) throws InterruptedException {
        assertTrue(
                loopback.runUntil(() -> loopback.simulator.invariants.starts >= count, SubmissionBurst.TIMEOUT_SECONDS),
                "fewer than " + count + " tasks were started");
    }

    private static void awaitEvictions(LoopbackCluster loopback, int count) throws InterruptedException {
        assertTrue(
                loopback.runUntil(() -> loopback.simulator.store.evictions >= count, SubmissionBurst.TIMEOUT_SECONDS),
                "fewer than " + count + " evictions took place");
    }

    /** Sends bytes that are no valid frame (HTTP, wrong version, wrong lengths); each closes only its own connection. */
    private static void sendMalformedFrames(LoopbackCluster loopback) throws IOException {
        byte[][] malformedFrames = {
            "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
            {0x48, 0x46, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
            {0x48, 0x46, 1, 3, 127, -1, -1, -1, 0, 0, 0, 0, 0, 0, 0, 0},
            {0x48, 0x46, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5}
        };
        for (SimulatedController node : loopback.simulator.controllers.values()) {
            String address = node.settings.peerListen();
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            for (byte[] frame : malformedFrames) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.setSoTimeout(10_000);
                    socket.getOutputStream().write(frame);
                    assertEquals(-1, socket.getInputStream().read(), "the connection must be closed");
                }
            }
        }
    }
}
