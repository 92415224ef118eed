import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** The deployment of a case. The defaults are those of the Brno Replay House in the brief. */
final class Config {
    /** A team with its guarantee and its limit in CPUs; 0 is none. */
    record Team(String name, double cpus, double cpusMax) {}

    List<String> zones = List.of("krpole", "zidenice", "cernovice");
    int nodes = 3;
    List<Team> teams = new ArrayList<>(List.of(new Team("replaydesk", 0, 0)));
    double reportS = 3;
    double leaseS = 26;
    double cancelS = 46;
    double stateRps = 250;
    double stateWriteRps = 100;
    double stateValueKb = 8;
    int stateTxnOps = 12;
    long firstEdition = 0;
    double cloudRps = 4;
    double listLagS = 4;
    int maxConnections = 2500;
    String type = "strihac";
    double typeCpus = 16;
    double typeMemGb = 64;
    double fetchGbPerS = 0.5;
    double bootS = 30;
    double price = 0.86;
    double spotPrice = 0.31;

    static String nodeName(int node) {
        return "workhorse-" + node;
    }

    String zoneOf(int node) {
        return zones.get(node % zones.size());
    }

    /** The settings file of one controller, in the form of the deployment page. */
    JsonObject settings(int node, List<String> bind, List<String> peer, String cloud, String state) {
        JsonObject root = new JsonObject();
        root.addProperty("node_name", nodeName(node));
        root.addProperty("location", zoneOf(node));
        root.addProperty("bind", bind.get(node));
        root.addProperty("cluster_listen", peer.get(node));
        JsonArray others = new JsonArray();
        for (int i = 0; i < nodes; i++) {
            if (i != node) {
                JsonObject other = new JsonObject();
                other.addProperty("node_name", nodeName(i));
                other.addProperty("location", zoneOf(i));
                other.addProperty("peer_addr", peer.get(i));
                others.add(other);
            }
        }
        root.add("others", others);
        JsonObject endpoints = new JsonObject();
        endpoints.addProperty("cloud", cloud);
        endpoints.addProperty("state", state);
        root.add("endpoints", endpoints);
        JsonObject deployment = new JsonObject();
        deployment.addProperty("size", nodes);
        JsonArray zoneNames = new JsonArray();
        zones.stream().sorted().forEach(zoneNames::add);
        deployment.add("zones", zoneNames);
        JsonArray teamList = new JsonArray();
        for (Team team : teams) {
            JsonObject json = new JsonObject();
            json.addProperty("name", team.name());
            json.addProperty("cpus", team.cpus());
            json.addProperty("cpus_max", team.cpusMax());
            json.addProperty("gpus", 0.0);
            json.addProperty("gpus_max", 0.0);
            teamList.add(json);
        }
        deployment.add("teams", teamList);
        deployment.add("objectives", new JsonArray());
        JsonObject workers = new JsonObject();
        workers.addProperty("report_s", reportS);
        workers.addProperty("lease_s", leaseS);
        workers.addProperty("gang_wait_s", 30.0);
        workers.addProperty("gang_peer_s", 5.0);
        workers.addProperty("cancel_s", cancelS);
        deployment.add("workers", workers);
        JsonObject stateLimits = new JsonObject();
        stateLimits.addProperty("rps", stateRps);
        stateLimits.addProperty("write_rps", stateWriteRps);
        stateLimits.addProperty("value_kb", stateValueKb);
        stateLimits.addProperty("txn_ops", stateTxnOps);
        deployment.add("state", stateLimits);
        JsonObject cloudLimits = new JsonObject();
        cloudLimits.addProperty("rps", cloudRps);
        cloudLimits.addProperty("list_lag_s", listLagS);
        deployment.add("cloud", cloudLimits);
        JsonObject resources = new JsonObject();
        resources.addProperty("cores", 0.255);
        resources.addProperty("memory_mb", 320.0);
        resources.addProperty("max_connections", maxConnections);
        deployment.add("resources", resources);
        deployment.addProperty("clock_off_ms", 25.0);
        root.add("deployment", deployment);
        return root;
    }
}
