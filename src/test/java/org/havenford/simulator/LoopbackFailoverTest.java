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

/** Controllers as real processes on loopback are killed and stopped amid a burst; rules and counts are asserted, not times. */
class LoopbackFailoverTest {
    @TempDir
    Path directory;

    @Test
    @Timeout(240)
    void aBurstOfRendersSurvivesKilledAndStoppedControllers() throws Exception {
        try (LoopbackCluster loopback = SubmissionBurst.start(directory, SubmissionBurst.STANDBY_ON, 18)) {
            sendGarbage(loopback);
            SubmissionBurst.submit(loopback, 100, 3);
            awaitStarts(loopback, SubmissionBurst.RENDERS / 8);

            loopback.controllers.get("node-0").kill();
            awaitEvictions(loopback, 1);
            loopback.controllers.get("node-0").start();

            awaitStarts(loopback, SubmissionBurst.RENDERS / 2);
            loopback.controllers.get("node-1").stop();
            awaitEvictions(loopback, 2);
            loopback.controllers.get("node-1").resume();

            assertTrue(
                    loopback.runUntil(() -> SubmissionBurst.allDone(loopback), 3 * SubmissionBurst.PATIENCE_SECONDS),
                    () -> loopback.world.users.finished.size() + " done\n" + String.join("\n", loopback.world.log));
            loopback.runUntil(() -> false, 2);
            assertEquals(List.of(), loopback.world.rules.broken);
            assertEquals(SubmissionBurst.RENDERS, loopback.world.users.finished.size());
            assertEquals(SubmissionBurst.RENDERS, loopback.world.rules.starts, "a task was started more than once");
        }
    }

    private static void awaitStarts(LoopbackCluster loopback, int count) throws InterruptedException {
        assertTrue(
                loopback.runUntil(() -> loopback.world.rules.starts >= count, SubmissionBurst.PATIENCE_SECONDS),
                "start " + count + " did not come");
    }

    private static void awaitEvictions(LoopbackCluster loopback, int count) throws InterruptedException {
        assertTrue(
                loopback.runUntil(() -> loopback.world.store.evictions >= count, SubmissionBurst.PATIENCE_SECONDS),
                "eviction " + count + " did not come");
    }

    /** What is no frame, or one of another version or length, ends its connection and nothing else. */
    private static void sendGarbage(LoopbackCluster loopback) throws IOException {
        byte[][] garbage = {
            "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
            {0x48, 0x46, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0},
            {0x48, 0x46, 1, 3, 127, -1, -1, -1, 0, 0, 0, 0, 0, 0, 0, 0},
            {0x48, 0x46, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5}
        };
        for (SimulatedController node : loopback.world.nodes.values()) {
            String address = node.settings.peerListen();
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
            for (byte[] bytes : garbage) {
                try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    socket.setSoTimeout(10_000);
                    socket.getOutputStream().write(bytes);
                    assertEquals(-1, socket.getInputStream().read(), "the connection is closed");
                }
            }
        }
    }
}
