package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.TokenBucket;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/** Calls to the cloud's API, kept below its limit of calls a second. */
public final class CloudClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(4);
    /** Part of the limit that is used: the cloud counts in its own time. */
    private static final double SAFETY = 0.8;

    private final EventLoop loop;
    private final HttpCalls calls;
    private final String address;
    private final TokenBucket budget;

    /** A client of the cloud at the address in the settings, within its request rate. */
    public CloudClient(EventLoop loop, HttpCalls calls, PlatformSettings settings) {
        this.loop = loop;
        this.calls = calls;
        this.address = settings.cloudAddress();
        this.budget = new TokenBucket(settings.cloudRps() * SAFETY, 1, loop.now());
    }

    /** Sends a request if the limit allows one now; whether it was sent. */
    boolean call(String method, String path, String body, Consumer<HttpCalls.Reply> done) {
        if (!budget.has(1, loop.now())) {
            return false;
        }
        budget.take(1);
        calls.call(address, method, path, body, TIMEOUT, done);
        return true;
    }
}
