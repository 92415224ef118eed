package org.havenford.simulator;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.PlatformSettings;

/**
 * Creates the platform settings of the controllers of a {@link ClusterSimulator}, parsed or as text of the settings
 * file.
 */
final class SimulatorSettings {
    static final int DEFAULT_NODES = 3;
    static final String DEFAULT_AGENTS = "{\"report_s\":3,\"lease_s\":20,\"cancel_s\":44}";
    static final String DEFAULT_STORE = "{\"rps\":300,\"write_rps\":150,\"value_kb\":8,\"txn_ops\":12}";
    private static final String ZONES = "abc";

    private SimulatorSettings() {}

    /** Returns the settings of one of three controllers with the default limits. */
    static PlatformSettings of(int node, String teams) {
        return of(node, DEFAULT_NODES, teams, DEFAULT_AGENTS, DEFAULT_STORE);
    }

    /**
     * Returns the settings of the controller {@code node-<node>}. The controllers are spread over the zones in turn.
     *
     * @param teams the elements of the list of teams, as JSON
     * @param agents the intervals and limits that apply to agents, as a JSON object
     * @param store the limits of the state service, as a JSON object
     */
    static PlatformSettings of(int node, int nodes, String teams, String agents, String store) {
        try {
            return PlatformSettings.parse(json(node, Addresses.ofSimulator(nodes), teams, agents, store));
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * The addresses of the controllers of a cluster and of the services that it uses.
     *
     * @param bindAddresses the addresses at which the controllers serve HTTP requests
     * @param peerAddresses the addresses at which the controllers accept peer connections
     * @param cloud the address of the cloud
     * @param state the address of the state service
     */
    record Addresses(List<String> bindAddresses, List<String> peerAddresses, String cloud, String state) {
        /** Returns fixed addresses, as the simulated network does not use real ports. */
        private static Addresses ofSimulator(int nodes) {
            return new Addresses(nodeAddresses(nodes, ":1"), nodeAddresses(nodes, ":2"), "cloud:1", "state:1");
        }

        private static List<String> nodeAddresses(int nodes, String port) {
            return IntStream.range(0, nodes)
                    .mapToObj(node -> "node-" + node + port)
                    .toList();
        }
    }

    /** Returns the text of the settings file of the controller {@code node-<node>}. */
    static String json(int node, Addresses addresses, String teams, String agents, String store) {
        return String.format(
                "{\"node_name\":\"node-%d\",\"location\":\"%c\",\"bind\":\"%s\",\"cluster_listen\":\"%s\","
                        + "\"others\":[%s],\"endpoints\":{\"cloud\":\"%s\",\"state\":\"%s\"},"
                        + "\"deployment\":{\"teams\":[%s],\"workers\":%s,\"state\":%s,"
                        + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}",
                node,
                zone(node),
                addresses.bindAddresses().get(node),
                addresses.peerAddresses().get(node),
                others(node, addresses.peerAddresses()),
                addresses.cloud(),
                addresses.state(),
                teams,
                agents,
                store);
    }

    private static String others(int node, List<String> peerAddresses) {
        return IntStream.range(0, peerAddresses.size())
                .filter(other -> other != node)
                .mapToObj(other -> String.format(
                        "{\"node_name\":\"node-%d\",\"location\":\"%c\",\"peer_addr\":\"%s\"}",
                        other, zone(other), peerAddresses.get(other)))
                .collect(Collectors.joining(","));
    }

    private static char zone(int node) {
        return ZONES.charAt(node % ZONES.length());
    }
}
