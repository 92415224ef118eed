package org.havenford.settings;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.PlatformSettings.Peer;
import org.havenford.settings.PlatformSettings.ServiceObjective;
import org.havenford.settings.PlatformSettings.Team;

/** Reads the platform's settings from JSON. Only this class contains the field names. */
final class PlatformSettingsReader {
    private static final int MAX_PORT = 65_535;
    private static final int BYTES_PER_KB = 1024;
    /** The minimum for a claim, which concerns the view, the job, its task range and the machine. */
    private static final int MIN_TRANSACTION_OPERATIONS = 4;

    private static final double DEFAULT_MAX_CONNECTIONS = 1000;

    private final JsonObject root;
    private final JsonObject endpoints;
    private final JsonObject deployment;
    private final JsonObject agents;
    private final JsonObject state;
    /** Announced limits of the store; the current ones if none are announced. */
    private final JsonObject announcedState;

    private final JsonObject cloud;
    private final JsonObject resources;

    PlatformSettingsReader(JsonObject root) throws MalformedMessageException {
        this.root = root;
        endpoints = Json.child(root, "endpoints");
        deployment = Json.child(root, "deployment");
        agents = Json.child(deployment, "workers");
        state = Json.child(deployment, "state");
        announcedState = Json.has(state, "next") ? Json.child(state, "next") : state;
        cloud = Json.child(deployment, "cloud");
        resources = Json.has(deployment, "resources") ? Json.child(deployment, "resources") : new JsonObject();
    }

    PlatformSettings read() throws MalformedMessageException {
        List<Peer> peers = peers();
        Map<String, Team> teams = teams();
        List<ServiceObjective> objectives = objectives();
        return new PlatformSettings(
                Json.text(root, "node_name"),
                Json.text(root, "location"),
                address(root, "bind"),
                address(root, "cluster_listen"),
                peers,
                address(endpoints, "cloud"),
                address(endpoints, "state"),
                teams,
                Json.seconds(agents, "report_s"),
                Json.seconds(agents, "lease_s"),
                Json.seconds(agents, "cancel_s"),
                Json.positive(state, "rps"),
                Json.positive(state, "write_rps"),
                smallerLimit("write_rps"),
                (int) (smallerLimit("value_kb") * BYTES_PER_KB),
                (int) (Json.positive(state, "value_kb") * BYTES_PER_KB),
                (int) Math.max(MIN_TRANSACTION_OPERATIONS, smallerLimit("txn_ops")),
                Json.positive(cloud, "rps"),
                Json.seconds(cloud, "list_lag_s"),
                (int) Json.amountOr(resources, "max_connections", DEFAULT_MAX_CONNECTIONS),
                objectives);
    }

    private List<Peer> peers() throws MalformedMessageException {
        List<Peer> peers = new ArrayList<>();
        for (JsonObject peer : Json.objects(root, "others")) {
            String zone = Json.textOr(peer, "location", "");
            peers.add(new Peer(Json.text(peer, "node_name"), zone, Json.text(peer, "peer_addr")));
        }
        return List.copyOf(peers);
    }

    private Map<String, Team> teams() throws MalformedMessageException {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (JsonObject json : Json.objects(deployment, "teams")) {
            Team team = new Team(
                    Json.text(json, "name"),
                    Json.amountOr(json, "cpus", 0),
                    Json.amountOr(json, "cpus_max", 0),
                    Json.amountOr(json, "gpus", 0),
                    Json.amountOr(json, "gpus_max", 0));
            teams.put(team.name(), team);
        }
        return teams;
    }

    private List<ServiceObjective> objectives() throws MalformedMessageException {
        List<ServiceObjective> objectives = new ArrayList<>();
        for (JsonObject objective : Json.objects(deployment, "objectives")) {
            objectives.add(new ServiceObjective(
                    Json.textOr(objective, "kind", ""),
                    Json.textOr(objective, "class", ""),
                    Json.has(objective, "within_s") ? Json.seconds(objective, "within_s") : null));
        }
        return List.copyOf(objectives);
    }

    /** Returns the smaller of the current and the announced limit. */
    private double smallerLimit(String field) throws MalformedMessageException {
        double current = Json.positive(state, field);
        return Json.has(announcedState, field) ? Math.min(current, Json.positive(announcedState, field)) : current;
    }

    private static String address(JsonObject json, String field) throws MalformedMessageException {
        String address = Json.text(json, field);
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !isPort(address.substring(colon + 1))) {
            throw new MalformedMessageException(field + " is not host:port");
        }
        return address;
    }

    private static boolean isPort(String text) {
        try {
            int port = Integer.parseInt(text);
            return port >= 1 && port <= MAX_PORT;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
