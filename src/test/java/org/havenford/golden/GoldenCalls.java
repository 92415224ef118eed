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
import org.havenford.testing.NoOpObserver;
import org.havenford.transport.HttpCalls;

/** Records one call to the store of each kind, and the transactions that probe and evict a member. */
public final class GoldenCalls implements HttpCalls {
    private static final long REVISION = 40;

    private final ManualLoop loop = new ManualLoop();
    private final StoreClient store = new StoreClient(loop, this, "state:1", new StoreLimits(1000, 1000, 1000), 1);
    private final Map<String, JsonElement> recorded = new LinkedHashMap<>();
    private StoreReplica replica;
    private String currentName;

    private GoldenCalls() {}

    /** Makes every kind of call and returns the calls by name. */
    public static Map<String, JsonElement> buildAll() {
        GoldenCalls calls = new GoldenCalls();
        calls.recordStoreCalls();
        calls.recordEvictionCalls();
        return calls.recorded;
    }

    /** Returns whether a member with this stored registration reads the compact form of records, and whether evictions. */
    public static String supportedFeatures(JsonElement stored) throws MalformedMessageException {
        MemberRegistration registration = MemberRegistration.parse(stored.getAsJsonObject());
        GoldenCalls calls = new GoldenCalls();
        Membership membership = calls.membership(Set.of("node-0"));
        TreeMap<String, Long> members = new TreeMap<>(Map.of("node-0", registration.incarnation()));
        membership.viewChanged(new ClusterView(4, members, new TreeMap<>(), new TreeSet<>()), 12);
        membership.registrationChanged("node-0", registration, 13);
        return membership.allSupportCompactForm() + " " + membership.allSupportEvictions();
    }

    private Membership membership(Set<String> configured) {
        ClusterState clusterState = new ClusterState();
        clusterState.setObserver(new NoOpObserver());
        replica = new StoreReplica(loop, store, Keys.REPLICATED, clusterState);
        MembershipSettings settings =
                new MembershipSettings("node-0", configured, Duration.ofSeconds(5), Duration.ofSeconds(5));
        return new Membership(loop, store, replica, settings, new MembershipListener() {
            @Override
            public void viewChanged() {}

            @Override
            public int ownedMachineCount(String node) {
                return 0;
            }
        });
    }

    private void recordStoreCalls() {
        JsonObject value = new JsonObject();
        value.addProperty("x", 1);
        recordCall("get", () -> store.get("live/job/j-1", CallPriority.USER, result -> {}));
        recordCall("first-page", () -> store.list("live/", null, result -> {}));
        recordCall("next-page", () -> store.list("live/", "live/job/j-1", result -> {}));
        recordCall("watch", () -> store.watch("live/", 431, Duration.ofSeconds(2), result -> {}));
        recordCall("lease", () -> store.createLease(Duration.ofSeconds(5), result -> {}));
        recordCall("lease-renewal", () -> store.renewLease(7, result -> {}));
        recordCall("lease-end", () -> store.endLease(7, result -> {}));
        recordCall(
                "comparison",
                () -> store.commit(
                        new Transaction().requireRevision("a", 0).requireRevision("b", 7),
                        CallPriority.USER,
                        result -> {}));
        recordCall(
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

    private void recordEvictionCalls() {
        Membership membership = membership(Set.of("node-0", "node-1"));
        TreeMap<String, Long> members = new TreeMap<>(Map.of("node-0", 7L, "node-1", 5L));
        TreeMap<String, String> reassigned = new TreeMap<>(Map.of("host-000001", "node-1"));
        membership.viewChanged(new ClusterView(4, members, reassigned, new TreeSet<>(Set.of("node-1"))), 12);
        members.forEach((node, incarnation) -> {
            membership.registrationChanged(node, new MemberRegistration(incarnation, 3), 10 + incarnation);
        });
        MemberEvictions evictions = new MemberEvictions(loop, store, replica, membership, "node-0");
        recordCall("challenge", () -> evictions.createLivenessProbe("node-1", 5, modRevision -> {}));
        LivenessProbe probe = LivenessProbe.parse(valueWritten("challenge", Keys.livenessProbe("node-1")));
        recordCall("challenge-answer", () -> evictions.livenessProbeChanged("node-0", probe, 30));
        recordCall("challenge-withdrawal", () -> evictions.withdrawProbe("node-1", 31));
        recordCall("eviction", () -> evictions.evict("node-1", 5, 32, evicted -> {}));
    }

    /** Returns the value to which a recorded transaction sets a key. */
    private JsonObject valueWritten(String call, String key) {
        for (JsonElement write :
                recorded.get(call).getAsJsonObject().getAsJsonObject("body").getAsJsonArray("writes")) {
            if (write.getAsJsonObject().get("set").getAsString().equals(key)) {
                return write.getAsJsonObject().getAsJsonObject("v");
            }
        }
        throw new IllegalStateException(call + " does not set " + key);
    }

    private void recordCall(String callName, Runnable action) {
        currentName = callName;
        action.run();
        if (!recorded.containsKey(callName)) {
            throw new IllegalStateException(callName + " was not sent");
        }
    }

    /** Records the first call of each action. */
    @Override
    public void call(
            String address, String method, String path, String body, Duration timeout, Consumer<Reply> callback) {
        JsonObject call = new JsonObject();
        call.addProperty("method", method);
        call.addProperty("path", path);
        call.add("body", body == null ? JsonNull.INSTANCE : JsonParser.parseString(body));
        recorded.putIfAbsent(currentName, call);
        callback.accept(new Reply(200, "{\"edition\":" + REVISION + "}"));
    }
}
