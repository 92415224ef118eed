package org.havenford.simulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** Holds the active faults of the simulated network. Machines and controllers are given by their addresses. */
final class NetworkFaults {
    private static final Duration RELEASE_DELAY = Duration.ofMillis(1);

    /** What happens to messages between two addresses. */
    enum Cut {
        /** Messages are lost. */
        DROP,
        /** Connections are refused at once. */
        RESET,
        /** Messages are held and delivered when the cut ends, even long after their timeout. */
        HOLD
    }

    /** An active cut, or null if there is none, and the zone or link that it applies to. */
    private record ActiveCut(String scope, Cut cut) {}

    private final ClusterSimulator simulator;
    private final Map<String, Cut> linkCuts = new HashMap<>();
    private final Map<String, Cut> zoneCuts = new HashMap<>();
    private final Map<String, String> zonesByAddress = new HashMap<>();
    private final Map<String, List<Runnable>> heldDeliveries = new HashMap<>();
    /** Held replies to open watches, by the controller that the state service refuses. */
    private final Map<String, List<Runnable>> heldWatchReplies = new HashMap<>();
    /** Additional delay of direct commands to a machine. */
    final Map<String, Duration> commandDelays = new HashMap<>();
    /** Additional delay of replies to watches of a controller. */
    final Map<String, Duration> watchReplyDelays = new HashMap<>();
    /** Addresses that receive nothing, although what they send arrives. */
    final Set<String> deaf = new HashSet<>();
    /** Addresses whose own requests are lost, although their replies to requests of others arrive. */
    final Set<String> mute = new HashSet<>();
    /** Maximum additional latency of each message in milliseconds. */
    int extraLatencyMillis;
    /** Machines whose heartbeats arrive a second time, and the delay of that duplicate. */
    final Map<String, Duration> duplicatedHeartbeats = new HashMap<>();
    /** Machines to which direct commands are delivered a second time, and the delay of that duplicate. */
    final Map<String, Duration> duplicatedCommands = new HashMap<>();
    /** Controllers whose POST requests are executed a second time, and the delay of that duplicate. */
    final Map<String, Duration> duplicatedPosts = new HashMap<>();
    /** Delay of the slow calls of a controller to the state service. */
    final Map<String, Duration> slowCalls = new HashMap<>();
    /** Number of upcoming calls of a controller to the state service that are slow. */
    final Map<String, Integer> slowCallsLeft = new HashMap<>();

    NetworkFaults(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    private static String linkKey(String first, String second) {
        return first.compareTo(second) < 0 ? first + "~" + second : second + "~" + first;
    }

    /** Cuts the link between two addresses in both directions. */
    void cut(String first, String second, Cut cut) {
        linkCuts.put(linkKey(first, second), cut);
    }

    /** Ends the cut between two addresses and delivers the messages that it held. */
    void heal(String first, String second) {
        linkCuts.remove(linkKey(first, second));
        release(heldDeliveries.remove(linkKey(first, second)));
    }

    /** Cuts a zone off from all addresses outside it. */
    void cutZone(String zone, Cut cut) {
        zoneCuts.put(zone, cut);
    }

    /** Ends the cut of a zone and delivers the messages that it held. */
    void healZone(String zone) {
        zoneCuts.remove(zone);
        release(heldDeliveries.remove(zone));
    }

    /** Assigns an address to a zone; users, cloud and state service are in none. */
    void assignZone(String address, String zone) {
        zonesByAddress.put(address, zone);
    }

    /**
     * Makes the state service refuse one controller. The controller can no longer renew its leases, and replies to its open
     * watches are held.
     */
    void refuseByStore(String controller) {
        heldWatchReplies.put(controller, new ArrayList<>());
    }

    /** Makes the state service serve a controller again and delivers the held replies to its watches. */
    void serveByStore(String controller) {
        release(heldWatchReplies.remove(controller));
    }

    /** Returns whether the state service refuses a controller. */
    boolean isRefused(String controller) {
        return heldWatchReplies.containsKey(controller);
    }

    /** Holds the reply to a watch of a refused controller until the state service serves the controller again. */
    void holdWatchReply(String controller, Runnable delivery) {
        heldWatchReplies.get(controller).add(delivery);
    }

    private void release(List<Runnable> deliveries) {
        if (deliveries != null) {
            deliveries.forEach(delivery -> simulator.after(RELEASE_DELAY, delivery));
        }
    }

    /** Returns the cut between two addresses, or null. A cut of a zone takes precedence over one of the link. */
    Cut cutBetween(String first, String second) {
        return activeCut(first, second).cut;
    }

    /** Returns the cut of the link between two addresses, or null; cuts of zones are ignored. */
    Cut cutOfLink(String first, String second) {
        return linkCuts.get(linkKey(first, second));
    }

    private ActiveCut activeCut(String first, String second) {
        String zone = cutZoneBetween(first, second);
        String linkKey = linkKey(first, second);
        return zone != null ? new ActiveCut(zone, zoneCuts.get(zone)) : new ActiveCut(linkKey, linkCuts.get(linkKey));
    }

    /** Returns the zone whose cut separates two addresses, or null. */
    private String cutZoneBetween(String first, String second) {
        String zone = zonesByAddress.get(first);
        String otherZone = zonesByAddress.get(second);
        if (Objects.equals(zone, otherZone)) {
            return null;
        }
        if (zoneCuts.containsKey(zone)) {
            return zone;
        }
        return zoneCuts.containsKey(otherZone) ? otherZone : null;
    }

    /** Returns whether a message may be delivered now. If not, it is held or lost, depending on the cut. */
    boolean passes(String from, String to, Runnable delivery) {
        ActiveCut active = activeCut(from, to);
        if (active.cut == Cut.HOLD) {
            heldDeliveries
                    .computeIfAbsent(active.scope, scope -> new ArrayList<>())
                    .add(delivery);
        }
        return active.cut == null;
    }

    /** Uses up one slow call of a controller; returns its delay, or null if none is left. */
    Duration takeSlowCall(String controller) {
        if (slowCallsLeft.getOrDefault(controller, 0) <= 0) {
            return null;
        }
        slowCallsLeft.merge(controller, -1, Integer::sum);
        return slowCalls.get(controller);
    }
}
