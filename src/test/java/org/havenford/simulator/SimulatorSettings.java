package org.havenford.simulator;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.PlatformSettings;

/** Platform settings of the controllers of a {@link ClusterSimulator}, in the form of the settings file. */
final class SimulatorSettings {
    static final int DEFAULT_NODES = 3;
    static final String DEFAULT_AGENTS = "{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44}";
    static final String DEFAULT_STORE = "{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12}";
    private static final String ZONES = "abc";

    private SimulatorSettings() {}

    /** Settings of one of three controllers with the default limits. */
    static PlatformSettings of(int node, String teams) {
        return of(node, DEFAULT_NODES, teams, DEFAULT_AGENTS, DEFAULT_STORE);
    }

    /**
     * Settings of the controller {@code node-<node>}; node i is in the i-th zone, modulo the number of zones.
     *
     * @param teams the elements of the list of teams, as JSON
     * @param agents the limits of agents, as a JSON object
     * @param store the limits of the state service, as a JSON object
     */
    static PlatformSettings of(int node, int nodes, String teams, String agents, String store) {
        try {
            return PlatformSettings.parse(json(node, Addresses.simulated(nodes), teams, agents, store));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Where a cluster's controllers and the services are reached.
     *
     * @param binds where each controller serves requests
     * @param peers where each controller accepts connections of its peers
     */
    record Addresses(List<String> binds, List<String> peers, String cloud, String state) {
        /** The addresses in a simulator, which has no ports to run out of. */
        private static Addresses simulated(int nodes) {
            return new Addresses(numbered(nodes, ":1"), numbered(nodes, ":2"), "cloud:1", "state:1");
        }

        private static List<String> numbered(int nodes, String port) {
            return IntStream.range(0, nodes)
                    .mapToObj(node -> "node-" + node + port)
                    .toList();
        }
    }

    /** The text of a controller's settings file. */
    static String json(int node, Addresses addresses, String teams, String agents, String store) {
        return String.format(
                "{\"node_name\":\"node-%d\",\"location\":\"%c\",\"bind\":\"%s\",\"cluster_listen\":\"%s\","
                        + "\"others\":[%s],\"endpoints\":{\"cloud\":\"%s\",\"state\":\"%s\"},"
                        + "\"deployment\":{\"teams\":[%s],\"workers\":%s,\"state\":%s,"
                        + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}",
                node,
                zone(node),
                addresses.binds().get(node),
                addresses.peers().get(node),
                others(node, addresses.peers()),
                addresses.cloud(),
                addresses.state(),
                teams,
                agents,
                store);
    }

    private static String others(int node, List<String> peers) {
        return IntStream.range(0, peers.size())
                .filter(other -> other != node)
                .mapToObj(other -> String.format(
                        "{\"node_name\":\"node-%d\",\"location\":\"%c\",\"peer_addr\":\"%s\"}",
                        other, zone(other), peers.get(other)))
                .collect(Collectors.joining(","));
    }

    private static char zone(int node) {
        return ZONES.charAt(node % ZONES.length());
    }
}
