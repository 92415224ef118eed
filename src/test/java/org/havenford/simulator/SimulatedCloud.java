package org.havenford.simulator;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.havenford.transport.HttpCalls.Reply;

/** A stand-in for the cloud: one small and one large type in each of three zones. */
final class SimulatedCloud implements ClusterSimulator.Server {
    static final Map<String, double[]> TYPES = types();
    static final double FETCH_GB_PER_S = 0.5;
    private static final int PER_OFFER = 3;

    /** In a fixed order: that of Map.of differs from one JVM to the next. */
    private static Map<String, double[]> types() {
        Map<String, double[]> types = new LinkedHashMap<>();
        types.put("small", new double[] {4, 32});
        types.put("large", new double[] {16, 64});
        return types;
    }

    private final ClusterSimulator simulator;
    private final Map<String, List<String>> bookings = new HashMap<>();
    private final TreeMap<String, JsonObject> listed = new TreeMap<>();
    final Set<String> gone = new HashSet<>();
    /** When each was returned. */
    final Map<String, Instant> returned = new HashMap<>();

    /** When the first machine was rented, by kind: spot or ordinary. */
    final Map<String, Instant> firstRented = new HashMap<>();

    private int created;
    boolean outage;
    List<String> zones = List.of("a", "b", "c");
    /** Zones in which machines rented from now on never come up. */
    final Set<String> darkZones = new HashSet<>();
    /** How long machines rented from now on take to be up; null for the usual time. */
    Duration bootTime;
    /** Machines that were rented so far. */
    int rented;

    /** Machines that the cloud has of each type, zone and kind. */
    int perOffer = PER_OFFER;

    SimulatedCloud(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    SimulatedAgent boot(String type, String zone, boolean spot, Duration in) {
        String name = String.format("host-%06d", created++);
        JsonObject json = new JsonObject();
        json.addProperty("nameId", name);
        json.addProperty("endpoint", simulator.endpoints.apply(name));
        json.addProperty("rig", type);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("status", "starting");
        json.addProperty("heldS", 60.0);
        simulator.after(Duration.ofSeconds(4), () -> {
            if (!gone.contains(name)) {
                listed.put(name, json);
            }
        });
        SimulatedAgent w = new SimulatedAgent(simulator, name, type, zone, spot);
        simulator.workers.put(name, w);
        simulator.network.faults.assignZone(simulator.endpoints.apply(name), zone);
        if (!darkZones.contains(zone)) {
            simulator.after(in, () -> {
                if (!gone.contains(name)) {
                    w.start();
                }
            });
        }
        return w;
    }

    /** The machine is gone for good; the list shows it a while longer. */
    void take(String name) {
        gone.add(name);
        simulator.workers.get(name).vanish();
        simulator.after(Duration.ofSeconds(4), () -> listed.remove(name));
    }

    @Override
    public void request(String method, String path, String body, Consumer<Reply> answer) {
        if (outage) {
            answer.accept(new Reply(503, "{\"error\":\"trouble\"}"));
        } else if (path.equals("/machine_types")) {
            JsonArray rigs = new JsonArray();
            TYPES.forEach((name, size) -> {
                JsonObject json = new JsonObject();
                json.addProperty("name", name);
                json.addProperty("vcpus", size[0]);
                json.addProperty("cards", 0);
                json.addProperty("memGb", size[1]);
                json.addProperty("localGb", 40);
                json.addProperty("fetchGbPerS", FETCH_GB_PER_S);
                json.addProperty("hourly", size[0] * 0.06);
                json.addProperty("spotPrice", size[0] * 0.02);
                json.addProperty("bootS", 20);
                JsonArray halls = new JsonArray();
                zones.forEach(halls::add);
                json.add("halls", halls);
                rigs.add(json);
            });
            JsonObject json = new JsonObject();
            json.add("rigs", rigs);
            answer.accept(new Reply(200, json.toString()));
        } else if (path.equals("/machines")) {
            answer.accept(rent(JsonParser.parseString(body).getAsJsonObject()));
        } else if (path.equals("/machines/return")) {
            for (JsonElement e : JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("boxes")) {
                if (simulator.workers.containsKey(e.getAsString())) {
                    returned.putIfAbsent(e.getAsString(), simulator.now);
                    take(e.getAsString());
                }
            }
            answer.accept(new Reply(200, "{}"));
        } else {
            answer.accept(list(path));
        }
    }

    /** A page of the list, in the order of the machines' names. */
    private Reply list(String path) {
        String since = path.contains("since=") ? path.replaceFirst(".*since=([^&]*).*", "$1") : "";
        int limit = Integer.parseInt(path.replaceFirst(".*limit=([0-9]+).*", "$1"));
        JsonArray boxes = new JsonArray();
        boolean truncated = false;
        for (Map.Entry<String, JsonObject> machine :
                listed.tailMap(since, false).entrySet()) {
            truncated = boxes.size() == limit;
            if (truncated) {
                break;
            }
            boxes.add(machine.getValue());
        }
        JsonObject json = new JsonObject();
        json.add("boxes", boxes);
        json.addProperty("truncated", truncated);
        return new Reply(200, json.toString());
    }

    private Reply rent(JsonObject json) {
        String booking = json.get("booking").getAsString();
        List<String> names = bookings.get(booking);
        if (names == null) {
            String type = json.get("rig").getAsString();
            String zone = json.get("hall").getAsString();
            boolean spot = json.get("borrowed").getAsBoolean();
            long there = simulator.workers.values().stream()
                    .filter(w -> !gone.contains(w.name) && w.type.equals(type) && w.zone.equals(zone) && w.spot == spot)
                    .count();
            int n = (int) Math.min(json.get("count").getAsInt(), perOffer - there);
            if (n <= 0) {
                return new Reply(503, "{\"error\":\"no capacity\"}");
            }
            names = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                Duration usual = Duration.ofMillis(15_000 + simulator.random.nextInt(10_000));
                names.add(boot(type, zone, spot, bootTime == null ? usual : bootTime).name);
                rented++;
            }
            bookings.put(booking, names);
            firstRented.putIfAbsent(spot ? "spot" : "ordinary", simulator.now);
        }
        JsonArray a = new JsonArray();
        names.forEach(a::add);
        JsonObject out = new JsonObject();
        out.add("boxes", a);
        return new Reply(200, out.toString());
    }
}
