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

/** Simulates the cloud provider, which offers one small and one large machine type in each zone. */
final class SimulatedCloud implements ClusterSimulator.Server {
    /** CPUs and memory in GB by machine type. */
    static final Map<String, double[]> TYPES = types();

    static final double IMAGE_PULL_GB_PER_S = 0.5;
    private static final double ON_DEMAND_PRICE_PER_CPU = 0.06;
    private static final double SPOT_PRICE_PER_CPU = 0.02;
    private static final int DEFAULT_MACHINES_PER_OFFER = 3;
    /** How long after a machine starts or terminates the machine list shows it. */
    private static final Duration LIST_LAG = Duration.ofSeconds(4);

    private static final int MIN_BOOT_MILLIS = 15_000;
    private static final int BOOT_JITTER_MILLIS = 10_000;

    /** Returns the types in a fixed order; the iteration order of {@code Map.of} differs between runs of the JVM. */
    private static Map<String, double[]> types() {
        Map<String, double[]> types = new LinkedHashMap<>();
        types.put("small", new double[] {4, 32});
        types.put("large", new double[] {16, 64});
        return types;
    }

    private final ClusterSimulator simulator;
    private final Map<String, List<String>> launchedByBooking = new HashMap<>();
    private final TreeMap<String, JsonObject> listedMachines = new TreeMap<>();
    /** Names of machines that have terminated. */
    final Set<String> terminated = new HashSet<>();
    /** When a controller first returned each machine, by name. */
    final Map<String, Instant> returned = new HashMap<>();

    /** When the first machine of each kind was launched; the keys are {@code spot} and {@code ordinary} (on-demand). */
    final Map<String, Instant> firstLaunchTimes = new HashMap<>();

    private int nextMachineNumber;
    boolean outage;
    /** Number of upcoming instance and return requests that are carried out late and never answered. */
    int lateRequests;
    /** How long after their arrival late requests are carried out. */
    Duration lateRequestDelay;

    List<String> zones = List.of("a", "b", "c");
    /** Zones in which machines launched from now on never finish booting. */
    final Set<String> zonesWithoutBoot = new HashSet<>();
    /** Boot time of machines launched from now on; null for a random time in the usual range. */
    Duration bootTime;
    /** Number of machines launched on request of the controllers. */
    int launchedMachines;

    /** Maximum number of machines of each type, zone and kind (spot or on-demand). */
    int maxMachinesPerOffer = DEFAULT_MACHINES_PER_OFFER;

    SimulatedCloud(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    /** Launches a machine whose agent starts after {@code bootDelay}; the machine list shows it after {@link #LIST_LAG}. */
    SimulatedAgent boot(String type, String zone, boolean spot, Duration bootDelay) {
        String name = String.format("host-%06d", nextMachineNumber++);
        JsonObject json = machineJson(name, type, zone, spot);
        simulator.after(LIST_LAG, () -> {
            if (!terminated.contains(name)) {
                listedMachines.put(name, json);
            }
        });
        SimulatedAgent agent = new SimulatedAgent(simulator, name, type, zone, spot);
        simulator.agents.put(name, agent);
        simulator.network.faults.assignZone(simulator.agentAddress.apply(name), zone);
        if (!zonesWithoutBoot.contains(zone)) {
            simulator.after(bootDelay, () -> {
                if (!terminated.contains(name)) {
                    agent.start();
                }
            });
        }
        return agent;
    }

    private JsonObject machineJson(String name, String type, String zone, boolean spot) {
        JsonObject json = new JsonObject();
        json.addProperty("nameId", name);
        json.addProperty("endpoint", simulator.agentAddress.apply(name));
        json.addProperty("rig", type);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("status", "starting");
        json.addProperty("heldS", 60.0);
        return json;
    }

    /** Terminates a machine for good; the machine list shows it until {@link #LIST_LAG} has passed. */
    void terminate(String name) {
        terminated.add(name);
        simulator.agents.get(name).terminate();
        simulator.after(LIST_LAG, () -> listedMachines.remove(name));
    }

    @Override
    public void handle(String method, String path, String body, Consumer<Reply> callback) {
        if (lateRequests > 0 && method.equals("POST")) {
            lateRequests--;
            simulator.after(lateRequestDelay, () -> answer(path, body, reply -> {}));
            return;
        }
        answer(path, body, callback);
    }

    private void answer(String path, String body, Consumer<Reply> callback) {
        if (outage) {
            callback.accept(new Reply(503, "{\"error\":\"trouble\"}"));
        } else if (path.equals("/machine_types")) {
            callback.accept(machineTypes());
        } else if (path.equals("/machines")) {
            callback.accept(launch(JsonParser.parseString(body).getAsJsonObject()));
        } else if (path.equals("/machines/return")) {
            returnMachines(JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("boxes"));
            callback.accept(new Reply(200, "{}"));
        } else {
            callback.accept(listPage(path));
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
        json.addProperty("fetchGbPerS", IMAGE_PULL_GB_PER_S);
        json.addProperty("hourly", size[0] * ON_DEMAND_PRICE_PER_CPU);
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
            if (simulator.agents.containsKey(name)) {
                returned.putIfAbsent(name, simulator.now);
                terminate(name);
            }
        }
    }

    /** Returns a page of the machine list, sorted by name. */
    private Reply listPage(String path) {
        String after = path.contains("since=") ? path.replaceFirst(".*since=([^&]*).*", "$1") : "";
        int limit = Integer.parseInt(path.replaceFirst(".*limit=([0-9]+).*", "$1"));
        JsonArray machines = new JsonArray();
        boolean truncated = false;
        for (Map.Entry<String, JsonObject> machine :
                listedMachines.tailMap(after, false).entrySet()) {
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

    /**
     * Launches machines. A request that repeats the booking id of an earlier successful one launches nothing; its reply
     * names the same machines again.
     */
    private Reply launch(JsonObject request) {
        String booking = request.get("booking").getAsString();
        List<String> names = launchedByBooking.get(booking);
        if (names == null) {
            String type = request.get("rig").getAsString();
            String zone = request.get("hall").getAsString();
            boolean spot = request.get("borrowed").getAsBoolean();
            int count = (int)
                    Math.min(request.get("count").getAsInt(), maxMachinesPerOffer - countMachines(type, zone, spot));
            if (count <= 0) {
                return new Reply(503, "{\"error\":\"no capacity\"}");
            }
            names = launchMachines(type, zone, spot, count);
            launchedByBooking.put(booking, names);
            firstLaunchTimes.putIfAbsent(spot ? "spot" : "ordinary", simulator.now);
        }
        JsonArray machines = new JsonArray();
        names.forEach(machines::add);
        JsonObject json = new JsonObject();
        json.add("boxes", machines);
        return new Reply(200, json.toString());
    }

    private long countMachines(String type, String zone, boolean spot) {
        return simulator.agents.values().stream()
                .filter(agent -> !terminated.contains(agent.name)
                        && agent.type.equals(type)
                        && agent.zone.equals(zone)
                        && agent.spot == spot)
                .count();
    }

    private List<String> launchMachines(String type, String zone, boolean spot, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Duration usualBootTime = Duration.ofMillis(MIN_BOOT_MILLIS + simulator.random.nextInt(BOOT_JITTER_MILLIS));
            names.add(boot(type, zone, spot, bootTime == null ? usualBootTime : bootTime).name);
            launchedMachines++;
        }
        return names;
    }
}
