package org.havenford.settings;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.Json;

/**
 * The file that the platform hands over. Unknown fields are ignored. The state service's limits may be lowered to those of
 * {@code state.next} at any moment: sizes are the smaller of both, {@code presentValueBytes} is what holds until then.
 */
public record PlatformSettings(
        String node,
        String zone,
        String bind,
        String peerListen,
        List<Peer> peers,
        String cloudAddress,
        String stateAddress,
        Map<String, Team> teams,
        Duration heartbeatInterval,
        Duration workerLease,
        Duration cancellationLimit,
        double stateRps,
        double stateWriteRps,
        double nextWriteRps,
        int valueBytes,
        int presentValueBytes,
        int txnOps,
        double cloudRps,
        Duration listLag,
        int maxConnections,
        List<ServiceObjective> objectives) {

    /** Changes a second and controller below which records are made as large, and releases gathered as long, as can be. */
    private static final double SCARCE = 6;

    /** Another controller of the same deployment. */
    public record Peer(String node, String zone, String address) {}

    /** An aim of a class of jobs; {@code within} is null for deadlines, which every job brings itself. */
    public record ServiceObjective(String kind, String jobClass, Duration within) {}

    /** A team's share; a limit of 0 means none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Whether the team has a limit. */
        public boolean limited() {
            return cpusMax > 0 || gpusMax > 0;
        }
    }

    /** Whether each controller's part of the changes that the state service takes, now or later, is so small that each must do much. */
    public boolean scarceChanges() {
        return nextWriteRps / (peers.size() + 1) < SCARCE;
    }

    /** Reads and checks a settings file. */
    public static PlatformSettings read(Path file) throws IOException, Json.BadMessage {
        return parse(Files.readString(file));
    }

    /** Reads and checks settings. */
    public static PlatformSettings parse(String text) throws Json.BadMessage {
        JsonObject json = Json.object(text);
        JsonObject endpoints = Json.child(json, "endpoints");
        JsonObject deployment = Json.child(json, "deployment");
        JsonObject workers = Json.child(deployment, "workers");
        JsonObject state = Json.child(deployment, "state");
        JsonObject next = Json.has(state, "next") ? Json.child(state, "next") : state;
        JsonObject cloud = Json.child(deployment, "cloud");
        JsonObject resources =
                Json.has(deployment, "resources") ? Json.child(deployment, "resources") : new JsonObject();
        List<Peer> peers = new ArrayList<>();
        for (JsonObject p : Json.objects(json, "others")) {
            peers.add(new Peer(Json.text(p, "node_name"), Json.textOr(p, "location", ""), Json.text(p, "peer_addr")));
        }
        Map<String, Team> teams = new LinkedHashMap<>();
        for (JsonObject t : Json.objects(deployment, "teams")) {
            Team team = new Team(
                    Json.text(t, "name"),
                    Json.amountOr(t, "cpus", 0),
                    Json.amountOr(t, "cpus_max", 0),
                    Json.amountOr(t, "gpus", 0),
                    Json.amountOr(t, "gpus_max", 0));
            teams.put(team.name(), team);
        }
        List<ServiceObjective> objectives = new ArrayList<>();
        for (JsonObject a : Json.objects(deployment, "objectives")) {
            objectives.add(new ServiceObjective(
                    Json.textOr(a, "kind", ""),
                    Json.textOr(a, "class", ""),
                    Json.has(a, "within_s") ? Json.seconds(a, "within_s") : null));
        }
        return new PlatformSettings(
                Json.text(json, "node_name"),
                Json.text(json, "location"),
                address(json, "bind"),
                address(json, "cluster_listen"),
                List.copyOf(peers),
                address(endpoints, "cloud"),
                address(endpoints, "state"),
                teams,
                Json.seconds(workers, "report_s"),
                Json.seconds(workers, "lease_s"),
                Json.seconds(workers, "cancel_s"),
                positive(state, "rps"),
                positive(state, "write_rps"),
                smaller(state, next, "write_rps"),
                (int) (smaller(state, next, "value_kb") * 1024),
                (int) (positive(state, "value_kb") * 1024),
                (int) Math.max(4, smaller(state, next, "txn_ops")),
                positive(cloud, "rps"),
                Json.seconds(cloud, "list_lag_s"),
                (int) Json.amountOr(resources, "max_connections", 1000),
                List.copyOf(objectives));
    }

    private static double positive(JsonObject json, String field) throws Json.BadMessage {
        double d = Json.amount(json, field);
        if (d <= 0) {
            throw new Json.BadMessage(field + " must be more than 0");
        }
        return d;
    }

    private static double smaller(JsonObject now, JsonObject next, String field) throws Json.BadMessage {
        double present = positive(now, field);
        return Json.has(next, field) ? Math.min(present, positive(next, field)) : present;
    }

    private static String address(JsonObject json, String field) throws Json.BadMessage {
        String a = Json.text(json, field);
        int colon = a.lastIndexOf(':');
        try {
            int port = Integer.parseInt(a.substring(colon + 1));
            if (colon < 1 || port < 1 || port > 65535) {
                throw new Json.BadMessage(field + " is not host:port");
            }
        } catch (NumberFormatException e) {
            throw new Json.BadMessage(field + " is not host:port");
        }
        return a;
    }
}
