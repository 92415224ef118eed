import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of the protocol with one machine type. It has no further machines to rent unless a capacity is given. */
final class Cloud {
    private static final class Machine {
        String zone;
        boolean spot;
        Worker worker;
        double rentedAt;
    }

    interface Starter {
        Worker start(String name, String zone, boolean spot) throws IOException;
    }

    private final World world;
    private final Config config;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, String> bookings = new HashMap<>();
    private Starter starter;
    private int next;
    /** How many machines each zone has, of ordinary ones; spot machines are not offered. */
    final Map<String, Integer> capacity = new HashMap<>();

    Cloud(World world, Config config) {
        this.world = world;
        this.config = config;
    }

    void setStarter(Starter starter) {
        this.starter = starter;
    }

    String serve(Web web) throws IOException {
        return web.serve((method, path, body) -> handle(path, body));
    }

    /** Adds a machine that is up already. */
    Worker add(String zone) throws IOException {
        synchronized (world) {
            Machine machine = new Machine();
            machine.zone = zone;
            machine.rentedAt = world.now() - 100;
            String name = String.format("host-%06d", ++next);
            machines.put(name, machine);
            machine.worker = starter.start(name, zone, false);
            return machine.worker;
        }
    }

    private Web.Reply handle(String path, String body) {
        synchronized (world) {
            if (path.equals("/machine_types")) {
                return new Web.Reply(200, types().toString());
            }
            if (path.equals("/machines/return")) {
                for (JsonElement name : JsonParser.parseString(body).getAsJsonObject().getAsJsonArray("boxes")) {
                    Machine machine = machines.remove(name.getAsString());
                    if (machine != null) {
                        world.record("CLOUD %s returned", name.getAsString());
                        if (machine.worker != null) {
                            machine.worker.end("returned");
                        }
                    }
                }
                return new Web.Reply(200, "{}");
            }
            if (path.equals("/machines")) {
                return rent(JsonParser.parseString(body).getAsJsonObject());
            }
            return list(path);
        }
    }

    private JsonObject types() {
        JsonObject type = new JsonObject();
        type.addProperty("name", config.type);
        type.addProperty("vcpus", config.typeCpus);
        type.addProperty("cards", 0);
        type.addProperty("memGb", config.typeMemGb);
        type.addProperty("localGb", 50);
        type.addProperty("fetchGbPerS", config.fetchGbPerS);
        type.addProperty("hourly", config.price);
        type.addProperty("spotPrice", config.spotPrice);
        type.addProperty("bootS", config.bootS);
        JsonArray halls = new JsonArray();
        config.zones.forEach(halls::add);
        type.add("halls", halls);
        JsonArray rigs = new JsonArray();
        rigs.add(type);
        JsonObject json = new JsonObject();
        json.add("rigs", rigs);
        return json;
    }

    private Web.Reply rent(JsonObject json) {
        String booking = json.get("booking").getAsString();
        if (bookings.containsKey(booking)) {
            return new Web.Reply(200, bookings.get(booking));
        }
        String zone = json.get("hall").getAsString();
        long there = machines.values().stream().filter(machine -> machine.zone.equals(zone)).count();
        int count = (int) Math.min(json.get("count").getAsInt(), capacity.getOrDefault(zone, 0) - there);
        if (count <= 0 || json.get("borrowed").getAsBoolean()) {
            return new Web.Reply(503, "{\"error\":\"no capacity\"}");
        }
        JsonArray boxes = new JsonArray();
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine();
            machine.zone = zone;
            machine.rentedAt = world.now();
            String name = String.format("host-%06d", ++next);
            machines.put(name, machine);
            boxes.add(name);
            world.record("CLOUD %s rented in %s", name, zone);
            world.after(config.bootS, () -> {
                try {
                    if (machines.get(name) == machine) {
                        machine.worker = starter.start(name, zone, false);
                    }
                } catch (IOException e) {
                    world.record("stand-in failed: %s", e);
                }
            });
        }
        JsonObject reply = new JsonObject();
        reply.add("boxes", boxes);
        bookings.put(booking, reply.toString());
        return new Web.Reply(200, reply.toString());
    }

    private Web.Reply list(String path) {
        String since = path.contains("since=") ? path.replaceFirst(".*since=([^&]*).*", "$1") : "";
        JsonArray boxes = new JsonArray();
        machines.tailMap(since, false).forEach((name, machine) -> {
            if (world.now() - machine.rentedAt > config.listLagS) {
                JsonObject box = new JsonObject();
                box.addProperty("nameId", name);
                box.addProperty("endpoint", machine.worker == null ? "" : machine.worker.anyEndpoint());
                box.addProperty("rig", config.type);
                box.addProperty("hall", machine.zone);
                box.addProperty("borrowed", machine.spot);
                box.addProperty("status", machine.worker == null ? "starting" : "running");
                box.addProperty("heldS", world.now() - machine.rentedAt);
                boxes.add(box);
            }
        });
        JsonObject json = new JsonObject();
        json.add("boxes", boxes);
        json.addProperty("truncated", false);
        return new Web.Reply(200, json.toString());
    }
}
