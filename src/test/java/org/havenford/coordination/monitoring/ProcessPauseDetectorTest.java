package org.havenford.coordination.monitoring;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.havenford.testing.ManualLoop;
import org.havenford.transport.HttpCalls;
import org.junit.jupiter.api.Test;

/** Tests that a pause is reported before the event that ends it is handled, whether a timer or a reply. */
class ProcessPauseDetectorTest {
    private final ManualLoop loop = new ManualLoop();
    private final List<String> events = new ArrayList<>();
    private final List<HttpCalls.Reply> replies = new ArrayList<>();
    private final HttpCalls calls = (address, method, path, body, timeout, done) ->
            loop.after(Duration.ZERO, () -> done.accept(new HttpCalls.Reply(200, "")));
    private final ProcessPauseDetector detector =
            new ProcessPauseDetector(loop, calls, pause -> events.add("pause " + pause.toMillis()));

    @Test
    void reportsPauseBeforeTimer() {
        detector.eventStarted();
        detector.after(Duration.ofMillis(250), () -> events.add("timer"));
        loop.advance(Duration.ofSeconds(13));
        loop.runNextTimer();
        assertEquals(List.of("pause 13000", "timer"), events);
    }

    @Test
    void reportsPauseEndedByReply() {
        detector.eventStarted();
        detector.call("state:1", "GET", "/", null, Duration.ofSeconds(2), replies::add);
        loop.advance(Duration.ofSeconds(2));
        loop.runNextTimer();
        assertEquals(List.of("pause 2000"), events);
        assertEquals(1, replies.size());
    }

    @Test
    void busyLoopIsNotReportedAsPause() {
        for (int i = 0; i < 20; i++) {
            detector.eventStarted();
            loop.advance(Duration.ofMillis(1900));
        }
        detector.eventStarted();
        assertEquals(List.of(), events);
    }

    @Test
    void reportsConsecutivePauses() {
        detector.eventStarted();
        loop.advance(Duration.ofSeconds(40));
        detector.eventStarted();
        loop.advance(Duration.ofSeconds(5));
        detector.eventStarted();
        assertEquals(List.of("pause 40000", "pause 5000"), events);
    }
}
