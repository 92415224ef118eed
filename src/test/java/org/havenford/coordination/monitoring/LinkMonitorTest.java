package org.havenford.coordination.monitoring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import org.havenford.settings.PlatformSettings;
import org.havenford.testing.ManualLoop;
import org.havenford.transport.HttpCalls;
import org.junit.jupiter.api.Test;

/** Tests which lost links are reported to operators, with their duration and reason. */
class LinkMonitorTest {
    private static final String SETTINGS = "{\"node_name\":\"n\",\"location\":\"a\",\"bind\":\"n:1\","
            + "\"cluster_listen\":\"n:2\",\"others\":[],\"endpoints\":{\"cloud\":\"c:1\",\"state\":\"s:1\"},"
            + "\"deployment\":{\"teams\":[],\"objectives\":[],"
            + "\"workers\":{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44},"
            + "\"state\":{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12},"
            + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}";

    private final ManualLoop loop = new ManualLoop();
    private final LinkMonitor links;
    private final HttpCalls calls;
    private int status = 200;

    LinkMonitorTest() throws Exception {
        links = new LinkMonitor(PlatformSettings.parse(SETTINGS), loop);
        calls = links.monitored(
                (address, method, path, body, timeout, done) -> done.accept(new HttpCalls.Reply(status, "")));
    }

    private void call(String address) {
        calls.call(address, "GET", "/", null, Duration.ofSeconds(1), reply -> {});
    }

    private void callForSeconds(String address, int seconds) {
        for (int i = 0; i < seconds; i++) {
            loop.advance(Duration.ofSeconds(1));
            call(address);
        }
    }

    @Test
    void briefRefusalIsNotReported() {
        call("s:1");
        status = 503;
        callForSeconds("s:1", 2);
        assertEquals(0, links.toJson().size());
        assertEquals("lost=none", links.summary());
    }

    @Test
    void reportsStoreThatRefusesRequests() {
        call("s:1");
        status = 503;
        callForSeconds("s:1", 10);
        status = 200;
        call("c:1");
        JsonArray lost = links.toJson();
        assertEquals(1, lost.size());
        JsonObject link = lost.get(0).getAsJsonObject();
        assertEquals("state_service", link.get("link").getAsString());
        assertEquals(10.0, link.get("lostForS").getAsDouble());
        assertTrue(link.get("why").getAsString().contains("refuses"));
        assertEquals("lost=[link=state_service lostForS=10.0 reason=refused]", links.summary());
        call("s:1");
        assertFalse(links.isLost(LinkMonitor.Link.STATE_SERVICE));
    }

    @Test
    void reportsMissingHeartbeats() {
        links.recordHeartbeat();
        for (int i = 0; i < 40; i++) {
            loop.advance(Duration.ofMillis(250));
            links.step(true);
        }
        assertTrue(links.isLost(LinkMonitor.Link.AGENTS));
        links.recordHeartbeat();
        assertFalse(links.isLost(LinkMonitor.Link.AGENTS));
    }

    /** A cordoned controller, or one without machines, expects no heartbeats. */
    @Test
    void reportsNothingIfNoHeartbeatsAreExpected() {
        for (int i = 0; i < 40; i++) {
            loop.advance(Duration.ofMillis(250));
            links.step(false);
        }
        assertFalse(links.isLost(LinkMonitor.Link.AGENTS));
    }

    /** Guards against reporting links as lost because nothing could be received while the process was paused. */
    @Test
    void processPauseIsNotReportedAsLostLink() {
        links.recordHeartbeat();
        call("s:1");
        loop.advance(Duration.ofSeconds(40));
        links.processPaused(Duration.ofSeconds(40));
        links.step(true);
        status = HttpCalls.NO_ANSWER;
        call("s:1");
        call("s:1");
        assertEquals(0, links.toJson().size());
    }
}
