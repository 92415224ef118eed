package org.havenford.world;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Four controllers as real processes race for the slots of a team at its limit while some of them are killed and stopped. What
 * runs is read from the stand-in workers after every event: a task beyond the limit fails the test at once.
 */
class LoopbackLimitTest {
    private static final int CONTROLLERS = 4;
    private static final int LIMIT = 12;
    private static final int TASKS = 240;
    private static final String TEAM = "{\"name\":\"red\",\"cpus\":0,\"cpus_max\":" + LIMIT + "}";
    private static final String OPERATOR =
            "<havenford><standby>on</standby><limit-transfers>on</limit-transfers></havenford>";

    @TempDir
    Path directory;

    @Test
    @Timeout(240)
    void noOvershootWhileControllersAreKilled() throws Exception {
        try (LoopbackWorld loopback = new LoopbackWorld(directory, CONTROLLERS, TEAM, OPERATOR)) {
            for (int i = 0; i < 12; i++) {
                loopback.world.cloud.boot("large", List.of("a", "b", "c").get(i % 3), false, Duration.ofMillis(300));
            }
            for (int i = 0; i < TASKS; i++) {
                loopback.world.users.submit("j-" + (100 + i), "red", 1, 1, 0.5, List.of("image-gb=0.1"));
            }
            awaitFinished(loopback, TASKS / 6);
            loopback.controllers.get("node-1").kill();
            awaitFinished(loopback, TASKS / 3);
            loopback.controllers.get("node-1").start();
            loopback.controllers.get("node-2").stop();
            awaitFinished(loopback, TASKS / 2);
            loopback.controllers.get("node-2").resume();
            awaitFinished(loopback, TASKS);
            assertTrue(
                    loopback.runUntil(() -> RenderBurst.allDone(loopback), RenderBurst.PATIENCE_SECONDS),
                    "every job is told to be done");
            assertEquals(List.of(), loopback.world.rules.broken);
            assertEquals(TASKS, loopback.world.rules.starts, "a task was started more than once");
        }
    }

    private static void awaitFinished(LoopbackWorld loopback, int tasks) throws InterruptedException {
        assertTrue(
                loopback.runUntil(
                        () -> loopback.world.users.finished.size() >= tasks, 2 * RenderBurst.PATIENCE_SECONDS),
                () -> loopback.world.users.finished.size() + " tasks done\n" + String.join("\n", loopback.world.log));
    }
}
