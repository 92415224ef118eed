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

/** The agents of the machines that this controller owns, kept in sync with the cluster view. */
final class AgentRegistry {
    private final AgentContext context;
    private final Object2ObjectOpenHashMap<String, AgentState> agents = new Object2ObjectOpenHashMap<>();
    private ClusterView previousView = ClusterView.empty();
    private boolean viewReceived;

    AgentRegistry(AgentContext context) {
        this.context = context;
    }

    /** Returns the agent of a machine, or null if it is not registered. */
    AgentState get(String machine) {
        return agents.get(machine);
    }

    /** Returns the agent of an owned machine, taking it over first if it is not registered yet. */
    AgentState getOrTakeOver(String machine) {
        return agents.computeIfAbsent(machine, name -> takeOver((String) name));
    }

    Collection<AgentState> all() {
        return agents.values();
    }

    /** Returns the names of the machines whose agents are registered. */
    Set<String> machines() {
        return agents.keySet();
    }

    void removeIf(Predicate<AgentState> removable) {
        agents.values().removeIf(removable);
    }

    /** Returns whether the view applied last by {@link #viewChanged} had cordoned this controller. */
    boolean wasCordoned() {
        return previousView.cordoned().contains(context.node());
    }

    /**
     * Applies a change of the view: removes agents whose machines were reassigned to other owners, and takes over agents
     * whose machines were assigned to this controller.
     *
     * @return the agents whose machines were reassigned to other owners
     */
    List<AgentState> viewChanged() {
        ClusterView view = context.membership().view();
        List<AgentState> reassigned = new ArrayList<>();
        for (String machine : List.copyOf(agents.keySet())) {
            // A registered machine was owned by this controller in the previous view.
            boolean sameIncarnation = context.owns(machine)
                    && view.members()
                            .get(context.node())
                            .equals(previousView.members().get(context.node()));
            if (!context.owns(machine)) {
                reassigned.add(agents.remove(machine));
            } else if (!sameIncarnation) {
                agents.put(machine, takeOver(machine));
            } else {
                agents.get(machine).startEpoch(view.epoch());
            }
        }
        // Taking over machines needs the previous view, which names their former owners.
        takeOverOwnedMachines();
        previousView = view;
        viewReceived = true;
        return reassigned;
    }

    /** Takes over the agents of all owned machines that have a record or claims. */
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
     * Creates the state of an agent with the latest time at which a former owner can renew the agent's lease. A former owner
     * that left the view without eviction has already lost its own lease, so that time is now. A former owner that is still
     * a member, or that is unknown, may not have seen the new view yet and can go on until its own lease ends.
     */
    private AgentState takeOver(String machine) {
        String formerOwner = previousView.owner(machine);
        Long incarnation = formerOwner == null ? null : previousView.members().get(formerOwner);
        // An evicted owner may rely on its lease until that expires by its own clock. Covered by
        // stalled-owner-is-evicted.trace.
        boolean formerOwnerLeaseEnded = viewReceived
                && formerOwner != null
                && !context.membership().isMember(formerOwner, incarnation)
                && !context.membership().view().wasEvicted(formerOwner, incarnation);
        Instant now = context.loop().now();
        AgentState agent = new AgentState(
                machine,
                formerOwnerLeaseEnded ? now : now.plus(context.membership().leaseDuration()));
        agent.startEpoch(context.membership().view().epoch());
        MachineRecord machineRecord = context.clusterState().machine(machine);
        if (machineRecord != null && machineRecord.condition() == Condition.SILENT) {
            // The machine may be silent because responses do not reach its agent; one heartbeat does not rule that out.
            agent.assumeMissingResponses();
        }
        return agent;
    }

    /** Returns the contacts of all agents that have reported, for the warm standbys of this controller. */
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
