package org.havenford.coordination.monitoring;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.havenford.testing.ManualLoop;
import org.havenford.transport.HttpCalls;
import org.junit.jupiter.api.Test;

/** Whatever event ends a pause, the pause is told first. */
class ProcessPauseDetectorTest {
    private final ManualLoop loop = new ManualLoop();
    private final List<String> happened = new ArrayList<>();
    private final List<HttpCalls.Reply> replies = new ArrayList<>();
    private final HttpCalls calls = (address, method, path, body, timeout, done) ->
            loop.timers.add(() -> done.accept(new HttpCalls.Reply(200, "")));
    private final ProcessPauseDetector detector =
            new ProcessPauseDetector(loop, calls, pause -> happened.add("pause " + pause.toMillis()));

    @Test
    void aTimerAfterAPause() {
        detector.eventStarted();
        detector.after(Duration.ofMillis(250), () -> happened.add("timer"));
        loop.pass(13);
        loop.timers.get(0).run();
        assertEquals(List.of("pause 13000", "timer"), happened);
    }

    @Test
    void aReplyAfterAPause() {
        detector.eventStarted();
        detector.call("state:1", "GET", "/", null, Duration.ofSeconds(2), replies::add);
        loop.pass(2);
        loop.timers.get(0).run();
        assertEquals(List.of("pause 2000"), happened);
        assertEquals(1, replies.size());
    }

    @Test
    void aBusyLoopIsNoPause() {
        for (int i = 0; i < 20; i++) {
            detector.eventStarted();
            loop.pass(1.9);
        }
        detector.eventStarted();
        assertEquals(List.of(), happened);
    }

    @Test
    void twoPausesInARow() {
        detector.eventStarted();
        loop.pass(40);
        detector.eventStarted();
        loop.pass(5);
        detector.eventStarted();
        assertEquals(List.of("pause 40000", "pause 5000"), happened);
    }
}
