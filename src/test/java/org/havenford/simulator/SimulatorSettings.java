package org.havenford.simulator;

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
        String json = String.format(
                "{\"node_name\":\"node-%d\",\"location\":\"%c\",\"bind\":\"node-%d:1\",\"cluster_listen\":\"node-%d:2\","
                        + "\"others\":[%s],\"endpoints\":{\"cloud\":\"cloud:1\",\"state\":\"state:1\"},"
                        + "\"deployment\":{\"teams\":[%s],\"workers\":%s,\"state\":%s,"
                        + "\"cloud\":{\"rps\":5,\"list_lag_s\":4}}}",
                node, zone(node), node, node, others(node, nodes), teams, agents, store);
        try {
            return PlatformSettings.parse(json);
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String others(int node, int nodes) {
        StringBuilder others = new StringBuilder();
        for (int other = 0; other < nodes; other++) {
            if (other != node) {
                others.append(others.isEmpty() ? "" : ",")
                        .append(String.format(
                                "{\"node_name\":\"node-%d\",\"location\":\"%c\",\"peer_addr\":\"node-%d:2\"}",
                                other, zone(other), other));
            }
        }
        return others.toString();
    }

    private static char zone(int node) {
        return ZONES.charAt(node % ZONES.length());
    }
}
