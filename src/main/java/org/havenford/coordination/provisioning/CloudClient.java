package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.TokenBucket;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/** Calls to the cloud's API, kept below its limit of calls per second. */
public final class CloudClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);
    /** Share of the limit that is used: the cloud counts in its own time. */
    private static final double USED_SHARE_OF_LIMIT = 0.8;

    private final EventLoop loop;
    private final HttpCalls calls;
    private final String address;
    private final TokenBucket rateLimit;

    /** A client of the cloud at the address in the settings, within its request rate. */
    public CloudClient(EventLoop loop, HttpCalls calls, PlatformSettings settings) {
        this.loop = loop;
        this.calls = calls;
        this.address = settings.cloudAddress();
        this.rateLimit = new TokenBucket(settings.cloudRequestsPerSecond() * USED_SHARE_OF_LIMIT, 1, loop.now());
    }

    /** Sends a request if the limit allows one now; returns whether it was sent. {@code body} is null where there is none. */
    boolean tryCall(String method, String path, String body, Consumer<HttpCalls.Reply> whenAnswered) {
        if (!rateLimit.has(1, loop.now())) {
            return false;
        }
        rateLimit.take(1);
        calls.call(address, method, path, body, CALL_TIMEOUT, whenAnswered);
        return true;
    }
}
