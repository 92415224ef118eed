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
    /** CPUs and gigabytes of memory of each type of machine. */
    static final Map<String, double[]> TYPES = types();

    static final double FETCH_GB_PER_S = 0.5;
    private static final double ORDINARY_PRICE_PER_CPU = 0.06;
    private static final double SPOT_PRICE_PER_CPU = 0.02;
    private static final int PER_OFFER = 3;
    /** How much later than it happens a change shows in the list of machines. */
    private static final Duration LIST_LAG = Duration.ofSeconds(4);

    private static final int MIN_BOOT_MILLIS = 15_000;
    private static final int BOOT_JITTER_MILLIS = 10_000;

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

    /** Starts a machine, whose agent is up after some time and which the list shows after its lag. */
    SimulatedAgent boot(String type, String zone, boolean spot, Duration bootDelay) {
        String name = String.format("host-%06d", created++);
        JsonObject json = machineJson(name, type, zone, spot);
        simulator.after(LIST_LAG, () -> {
            if (!gone.contains(name)) {
                listed.put(name, json);
            }
        });
        SimulatedAgent agent = new SimulatedAgent(simulator, name, type, zone, spot);
        simulator.workers.put(name, agent);
        simulator.network.faults.assignZone(simulator.endpoints.apply(name), zone);
        if (!darkZones.contains(zone)) {
            simulator.after(bootDelay, () -> {
                if (!gone.contains(name)) {
                    agent.start();
                }
            });
        }
        return agent;
    }

    private JsonObject machineJson(String name, String type, String zone, boolean spot) {
        JsonObject json = new JsonObject();
        json.addProperty("nameId", name);
        json.addProperty("endpoint", simulator.endpoints.apply(name));
        json.addProperty("rig", type);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("status", "starting");
        json.addProperty("heldS", 60.0);
        return json;
    }

    /** The machine is gone for good; the list shows it a while longer. */
    void terminate(String name) {
        gone.add(name);
        simulator.workers.get(name).vanish();
        simulator.after(LIST_LAG, () -> listed.remove(name));
    }

    @Override
    public void request(String method, String path, String body, Consumer<Reply> answer) {
        if (outage) {
            answer.accept(new Reply(503, "{\"error\":\"trouble\"}"));
        } else if (path.equals("/machine_types")) {
            answer.accept(machineTypes());
        } else if (path.equals("/machines")) {
            answer.accept(rent(JsonParser.parseString(body).getAsJsonObject()));
        } else if (path.equals("/machines/return")) {
            returnMachines(JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("boxes"));
            answer.accept(new Reply(200, "{}"));
        } else {
            answer.accept(list(path));
        }
    }

    private Reply machineTypes() {
        JsonArray types = new JsonArray();
        TYPES.forEach((name, size) -> types.add(machineType(name, size)));
        JsonObject json = new JsonObject();
        json.add("rigs", types);
        return new Reply(200, json.toString());
    }

    private JsonObject machineType(String name, double[] size) {
        JsonObject json = new JsonObject();
        json.addProperty("name", name);
        json.addProperty("vcpus", size[0]);
        json.addProperty("cards", 0);
        json.addProperty("memGb", size[1]);
        json.addProperty("localGb", 40);
        json.addProperty("fetchGbPerS", FETCH_GB_PER_S);
        json.addProperty("hourly", size[0] * ORDINARY_PRICE_PER_CPU);
        json.addProperty("spotPrice", size[0] * SPOT_PRICE_PER_CPU);
        json.addProperty("bootS", 20);
        JsonArray zoneNames = new JsonArray();
        zones.forEach(zoneNames::add);
        json.add("halls", zoneNames);
        return json;
    }

    private void returnMachines(JsonArray names) {
        for (JsonElement element : names) {
            String name = element.getAsString();
            if (simulator.workers.containsKey(name)) {
                returned.putIfAbsent(name, simulator.now);
                terminate(name);
            }
        }
    }

    /** A page of the list, in the order of the machines' names. */
    private Reply list(String path) {
        String since = path.contains("since=") ? path.replaceFirst(".*since=([^&]*).*", "$1") : "";
        int limit = Integer.parseInt(path.replaceFirst(".*limit=([0-9]+).*", "$1"));
        JsonArray machines = new JsonArray();
        boolean truncated = false;
        for (Map.Entry<String, JsonObject> machine :
                listed.tailMap(since, false).entrySet()) {
            truncated = machines.size() == limit;
            if (truncated) {
                break;
            }
            machines.add(machine.getValue());
        }
        JsonObject json = new JsonObject();
        json.add("boxes", machines);
        json.addProperty("truncated", truncated);
        return new Reply(200, json.toString());
    }

    /** Rents machines; a request with a booking that was carried out already is answered as before. */
    private Reply rent(JsonObject request) {
        String booking = request.get("booking").getAsString();
        List<String> names = bookings.get(booking);
        if (names == null) {
            String type = request.get("rig").getAsString();
            String zone = request.get("hall").getAsString();
            boolean spot = request.get("borrowed").getAsBoolean();
            int count = (int) Math.min(request.get("count").getAsInt(), perOffer - countMachines(type, zone, spot));
            if (count <= 0) {
                return new Reply(503, "{\"error\":\"no capacity\"}");
            }
            names = bootRented(type, zone, spot, count);
            bookings.put(booking, names);
            firstRented.putIfAbsent(spot ? "spot" : "ordinary", simulator.now);
        }
        JsonArray machines = new JsonArray();
        names.forEach(machines::add);
        JsonObject json = new JsonObject();
        json.add("boxes", machines);
        return new Reply(200, json.toString());
    }

    private long countMachines(String type, String zone, boolean spot) {
        return simulator.workers.values().stream()
                .filter(agent -> !gone.contains(agent.name)
                        && agent.type.equals(type)
                        && agent.zone.equals(zone)
                        && agent.spot == spot)
                .count();
    }

    private List<String> bootRented(String type, String zone, boolean spot, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Duration usual = Duration.ofMillis(MIN_BOOT_MILLIS + simulator.random.nextInt(BOOT_JITTER_MILLIS));
            names.add(boot(type, zone, spot, bootTime == null ? usual : bootTime).name);
            rented++;
        }
        return names;
    }
}
