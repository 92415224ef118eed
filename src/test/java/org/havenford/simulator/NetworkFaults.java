package org.havenford.simulator;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/** The faults of the simulated network that are in force at the moment, by address unless said otherwise. */
final class NetworkFaults {
    private static final Duration RELEASE_DELAY = Duration.ofMillis(1);

    /** A way that messages between two ends are disturbed. */
    enum Cut {
        /** Messages vanish. */
        DROP,
        /** Connections are refused at once. */
        RESET,
        /** Messages are kept and delivered when the cut ends, however late. */
        HOLD
    }

    /** A cut in force, and the zone or link that it belongs to. */
    private record ActiveCut(String scope, Cut cut) {}

    private final ClusterSimulator simulator;
    private final Map<String, Cut> cutLinks = new HashMap<>();
    private final Map<String, Cut> cutZones = new HashMap<>();
    private final Map<String, String> zones = new HashMap<>();
    private final Map<String, List<Runnable>> held = new HashMap<>();
    /** Controllers that the state service refuses alone; what their open watches would be told waits. */
    private final Map<String, List<Runnable>> refused = new HashMap<>();
    /** Machines that commands reach this much later. */
    final Map<String, Duration> lateCommands = new HashMap<>();
    /** Controllers that are told of changes in the state service this much later. */
    final Map<String, Duration> lateChanges = new HashMap<>();
    /** Ends that nothing reaches, though all that they send arrives. */
    final Set<String> deaf = new HashSet<>();
    /** Machines that reach nobody by themselves, though their answers to commands arrive. */
    final Set<String> mute = new HashSet<>();
    /** Milliseconds that a message may take on top of the usual few. */
    int slowLinks;
    /** Machines whose heartbeats arrive a second time, this much later. */
    final Map<String, Duration> copies = new HashMap<>();
    /** Controllers whose requests that change something are carried out a second time, this much later. */
    final Map<String, Duration> repeats = new HashMap<>();
    /** Calls of a controller to the state service that take this much longer, and how many of them. */
    final Map<String, Duration> slowCalls = new HashMap<>();

    final Map<String, Integer> slowCallsLeft = new HashMap<>();

    NetworkFaults(ClusterSimulator simulator) {
        this.simulator = simulator;
    }

    private static String link(String one, String other) {
        return one.compareTo(other) < 0 ? one + "~" + other : other + "~" + one;
    }

    /** Cuts the link between two ends, in both directions. */
    void cut(String one, String other, Cut cut) {
        cutLinks.put(link(one, other), cut);
    }

    /** Ends the cut between two ends; what it held arrives now. */
    void heal(String one, String other) {
        cutLinks.remove(link(one, other));
        release(held.remove(link(one, other)));
    }

    /** Cuts off a zone from all that is not in it. */
    void cutZone(String zone, Cut cut) {
        cutZones.put(zone, cut);
    }

    /** Ends the cut of a zone; what it held arrives now. */
    void healZone(String zone) {
        cutZones.remove(zone);
        release(held.remove(zone));
    }

    /** Says in which zone an end is; users, cloud and state service are in none. */
    void assignZone(String address, String zone) {
        zones.put(address, zone);
    }

    /** The state service refuses one controller alone; its leases run out, and its open watches wait. */
    void refuse(String controller) {
        refused.put(controller, new ArrayList<>());
    }

    /** The state service answers a controller again. */
    void serve(String controller) {
        release(refused.remove(controller));
    }

    /** Whether the state service refuses this controller. */
    boolean refuses(String controller) {
        return refused.containsKey(controller);
    }

    /** Keeps what a controller's watch would be told until the state service answers it again. */
    void holdForRefused(String controller, Runnable delivery) {
        refused.get(controller).add(delivery);
    }

    private void release(List<Runnable> deliveries) {
        if (deliveries != null) {
            deliveries.forEach(delivery -> simulator.after(RELEASE_DELAY, delivery));
        }
    }

    /** The cut on the way between two ends, or null; that of a zone comes before that of a link. */
    Cut cutBetween(String one, String other) {
        return activeCut(one, other).cut;
    }

    /** The cut of the link between two ends alone, or null. */
    Cut cutOfLink(String one, String other) {
        return cutLinks.get(link(one, other));
    }

    private ActiveCut activeCut(String one, String other) {
        String zone = cutZoneBetween(one, other);
        String link = link(one, other);
        return zone != null ? new ActiveCut(zone, cutZones.get(zone)) : new ActiveCut(link, cutLinks.get(link));
    }

    /** The zone whose cut is between two ends, or null. */
    private String cutZoneBetween(String one, String other) {
        String zone = zones.get(one);
        String otherZone = zones.get(other);
        if (Objects.equals(zone, otherZone)) {
            return null;
        }
        if (cutZones.containsKey(zone)) {
            return zone;
        }
        return cutZones.containsKey(otherZone) ? otherZone : null;
    }

    /** Whether a message may go on its way; if it may not, it is held or lost as the cut demands. */
    boolean passes(String from, String to, Runnable delivery) {
        ActiveCut active = activeCut(from, to);
        if (active.cut == Cut.HOLD) {
            held.computeIfAbsent(active.scope, scope -> new ArrayList<>()).add(delivery);
        }
        return active.cut == null;
    }

    /** Takes one of a controller's slow calls; null if none is left, else how much longer the call takes. */
    Duration takeSlowCall(String controller) {
        if (slowCallsLeft.getOrDefault(controller, 0) <= 0) {
            return null;
        }
        slowCallsLeft.merge(controller, -1, Integer::sum);
        return slowCalls.get(controller);
    }
}
