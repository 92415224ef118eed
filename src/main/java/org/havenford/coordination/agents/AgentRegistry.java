package org.havenford.coordination.agents;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;

/** The agents of the machines that this controller owns, kept in step with the cluster view. */
final class AgentRegistry {
    private final AgentContext context;
    private final Object2ObjectOpenHashMap<String, AgentState> agents = new Object2ObjectOpenHashMap<>();
    private ClusterView previousView = ClusterView.empty();
    private boolean sawView;

    AgentRegistry(AgentContext context) {
        this.context = context;
    }

    /** The agent of a machine, or null if none is known. */
    AgentState get(String machine) {
        return agents.get(machine);
    }

    /** The agent of a machine that this controller owns; it is taken over if it is not known yet. */
    AgentState getOrTakeOver(String machine) {
        return agents.computeIfAbsent(machine, name -> takeOver((String) name));
    }

    Collection<AgentState> all() {
        return agents.values();
    }

    /** The names of the machines whose agents are known. */
    Set<String> machines() {
        return agents.keySet();
    }

    void removeIf(Predicate<AgentState> forgotten) {
        agents.values().removeIf(forgotten);
    }

    /** Whether this controller was cordoned in the view before the present one. */
    boolean wasCordoned() {
        return previousView.cordoned().contains(context.node());
    }

    /**
     * After each change of the view: forgets agents whose machines went to other owners and takes over those that came.
     *
     * @return the agents that went to other owners
     */
    List<AgentState> viewChanged() {
        ClusterView view = context.membership().view();
        List<AgentState> lost = new ArrayList<>();
        for (String machine : List.copyOf(agents.keySet())) {
            // It was ours in the view before, or it would not be here.
            boolean sameIncarnation = context.owns(machine)
                    && view.members()
                            .get(context.node())
                            .equals(previousView.members().get(context.node()));
            if (!context.owns(machine)) {
                lost.add(agents.remove(machine));
            } else if (!sameIncarnation) {
                agents.put(machine, takeOver(machine));
            } else {
                agents.get(machine).startEpoch(view.epoch());
            }
        }
        // Machines that are new to us are taken over with the view before this one still at hand.
        takeOverOwnedMachines();
        previousView = view;
        sawView = true;
        return lost;
    }

    /** Takes over the agents of all owned machines that are on record or claimed. */
    void takeOverOwnedMachines() {
        for (MachineRecord machine : context.clusterState().machines()) {
            if (context.owns(machine.name())) {
                getOrTakeOver(machine.name());
            }
        }
        for (String machine : context.clusterState().claimedMachines()) {
            if (context.owns(machine)) {
                getOrTakeOver(machine);
            }
        }
    }

    /**
     * Until when may someone else have renewed the agent's lease? An owner that left the view had lost its own lease before;
     * one that is still a member, or that we know nothing of, may not have seen the new view for as long as its lease can
     * last.
     */
    private AgentState takeOver(String machine) {
        String formerOwner = previousView.owner(machine);
        Long incarnation = formerOwner == null ? null : previousView.members().get(formerOwner);
        // An evicted owner may believe that it holds its lease until that ends by its own clock.
        // stalled-owner-is-evicted.trace
        boolean gone = sawView
                && formerOwner != null
                && !context.membership().isMember(formerOwner, incarnation)
                && !context.membership().view().wasEvicted(formerOwner, incarnation);
        Instant now = context.loop().now();
        AgentState agent = new AgentState(
                machine, gone ? now : now.plus(context.membership().leaseDuration()));
        agent.startEpoch(context.membership().view().epoch());
        MachineRecord onRecord = context.clusterState().machine(machine);
        if (onRecord != null && onRecord.condition() == Condition.SILENT) {
            // Its agent may be one that no response reaches: a heartbeat alone does not show the contrary.
            agent.assumeUnanswered();
        }
        return agent;
    }

    /** What is known of the agents, for the warm standbys of this controller. */
    List<AgentContact> contacts() {
        List<AgentContact> contacts = new ArrayList<>(agents.size());
        for (AgentState agent : agents.values()) {
            AgentContact contact = agent.contact();
            if (contact != null) {
                contacts.add(contact);
            }
        }
        return contacts;
    }
}
