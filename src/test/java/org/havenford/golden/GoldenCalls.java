package org.havenford.golden;

import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.havenford.coordination.membership.MemberEvictions;
import org.havenford.coordination.membership.Membership;
import org.havenford.coordination.membership.MembershipListener;
import org.havenford.coordination.membership.MembershipSettings;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.storage.CallPriority;
import org.havenford.storage.ClusterState;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreLimits;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.storage.records.MemberRegistration;
import org.havenford.testing.ManualLoop;
import org.havenford.testing.QuietObserver;
import org.havenford.transport.HttpCalls;

/** Every kind of call to the state service, and the transactions by which a member is asked and evicted. */
public final class GoldenCalls implements HttpCalls {
    private static final long EDITION = 40;

    private final ManualLoop loop = new ManualLoop();
    private final StoreClient store = new StoreClient(loop, this, "state:1", new StoreLimits(1000, 1000, 1000), 1);
    private final Map<String, JsonElement> built = new LinkedHashMap<>();
    private StoreReplica replica;
    private String name;

    private GoldenCalls() {}

    /** Calls by name. */
    public static Map<String, JsonElement> built() {
        GoldenCalls calls = new GoldenCalls();
        calls.plainCalls();
        calls.evictions();
        return calls.built;
    }

    /** Whether a member that is registered so reads pipelines, and evictions. */
    public static String understoodBy(JsonElement stored) throws MalformedMessageException {
        MemberRegistration registration = MemberRegistration.parse(stored.getAsJsonObject());
        GoldenCalls calls = new GoldenCalls();
        Membership membership = calls.membership(Set.of("node-0"));
        TreeMap<String, Long> members = new TreeMap<>(Map.of("node-0", registration.incarnation()));
        membership.viewChanged(new ClusterView(4, members, new TreeMap<>(), new TreeSet<>()), 12);
        membership.memberChanged("node-0", registration, 13);
        return membership.allReadShortForm() + " " + membership.allSupportEvictions();
    }

    private Membership membership(Set<String> configured) {
        ClusterState clusterState = new ClusterState();
        clusterState.setObserver(new QuietObserver());
        replica = new StoreReplica(loop, store, Keys.REPLICATED, clusterState);
        MembershipSettings settings = new MembershipSettings("node-0", configured, Duration.ofSeconds(5));
        return new Membership(loop, store, replica, settings, new MembershipListener() {
            @Override
            public void viewChanged() {}

            @Override
            public int ownedMachines(String node) {
                return 0;
            }
        });
    }

    private void plainCalls() {
        JsonObject value = new JsonObject();
        value.addProperty("x", 1);
        make("get", () -> store.get("live/job/j-1", CallPriority.USER, result -> {}));
        make("first-page", () -> store.list("live/", null, result -> {}));
        make("next-page", () -> store.list("live/", "live/job/j-1", result -> {}));
        make("watch", () -> store.watch("live/", 431, Duration.ofSeconds(2), result -> {}));
        make("lease", () -> store.createLease(Duration.ofSeconds(5), result -> {}));
        make("lease-renewal", () -> store.renewLease(7, result -> {}));
        make("lease-end", () -> store.endLease(7, result -> {}));
        make(
                "comparison",
                () -> store.commit(
                        new Transaction().requireRevision("a", 0).requireRevision("b", 7),
                        CallPriority.USER,
                        result -> {}));
        make(
                "transaction",
                () -> store.commit(
                        new Transaction()
                                .requireRevision("a", 3)
                                .put("a", value)
                                .put("b", value, 7)
                                .delete("c"),
                        CallPriority.WORK,
                        result -> {}));
    }

    private void evictions() {
        Membership membership = membership(Set.of("node-0", "node-1"));
        TreeMap<String, Long> members = new TreeMap<>(Map.of("node-0", 7L, "node-1", 5L));
        TreeMap<String, String> moved = new TreeMap<>(Map.of("host-000001", "node-1"));
        membership.viewChanged(new ClusterView(4, members, moved, new TreeSet<>(Set.of("node-1"))), 12);
        members.forEach((node, incarnation) -> {
            membership.memberChanged(node, new MemberRegistration(incarnation, 3), 10 + incarnation);
        });
        MemberEvictions evictions = new MemberEvictions(loop, store, replica, membership, "node-0");
        make("challenge", () -> evictions.probe("node-1", 5, stamp -> {}));
        LivenessProbe challenge = LivenessProbe.parse(written("challenge", Keys.livenessProbe("node-1")));
        make("challenge-answer", () -> evictions.livenessProbeChanged("node-0", challenge, 30));
        make("challenge-withdrawal", () -> evictions.withdrawProbe("node-1", 31));
        make("eviction", () -> evictions.evict("node-1", 5, 32, evicted -> {}));
    }

    /** The value that a transaction sets a key to. */
    private JsonObject written(String call, String key) {
        for (JsonElement write :
                built.get(call).getAsJsonObject().getAsJsonObject("body").getAsJsonArray("writes")) {
            if (write.getAsJsonObject().get("set").getAsString().equals(key)) {
                return write.getAsJsonObject().getAsJsonObject("v");
            }
        }
        throw new IllegalStateException(call + " does not set " + key);
    }

    private void make(String callName, Runnable action) {
        name = callName;
        action.run();
        if (!built.containsKey(callName)) {
            throw new IllegalStateException(callName + " was not sent");
        }
    }

    /** The first call of each action is the one that it stands for. */
    @Override
    public void call(String address, String method, String path, String body, Duration timeout, Consumer<Reply> done) {
        JsonObject call = new JsonObject();
        call.addProperty("method", method);
        call.addProperty("path", path);
        call.add("body", body == null ? JsonNull.INSTANCE : JsonParser.parseString(body));
        built.putIfAbsent(name, call);
        done.accept(new Reply(200, "{\"edition\":" + EDITION + "}"));
    }
}
