package org.havenford.coordination.provisioning;

import java.time.Duration;
import java.util.function.Consumer;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.TokenBucket;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;

/** Client of the cloud's API that stays below the API's rate limit. */
public final class CloudClient {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);
    /** Share of the rate limit that is used. The rest is a margin, as the cloud counts the calls by its own clock. */
    private static final double RATE_LIMIT_SHARE = 0.8;

    private final EventLoop loop;
    private final HttpCalls calls;
    private final String address;
    private final TokenBucket rateLimit;

    /** Creates a client with the cloud's address and rate limit from the platform settings. */
    public CloudClient(EventLoop loop, HttpCalls calls, PlatformSettings settings) {
        this.loop = loop;
        this.calls = calls;
        this.address = settings.cloudAddress();
        this.rateLimit = new TokenBucket(settings.cloudRequestsPerSecond() * RATE_LIMIT_SHARE, 1, loop.now());
    }

    /**
     * Sends a request if the rate limit currently allows one, and returns whether it was sent. A null {@code body}
     * means a request without a body.
     */
    boolean tryCall(String method, String path, String body, Consumer<HttpCalls.Reply> onReply) {
        if (!rateLimit.hasTokens(1, loop.now())) {
            return false;
        }
        rateLimit.take(1);
        calls.call(address, method, path, body, CALL_TIMEOUT, onReply);
        return true;
    }
}
