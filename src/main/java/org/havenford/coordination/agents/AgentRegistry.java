package org.havenford.coordination.agents;

import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.MachineRecord;
import org.havenford.storage.records.MachineRecord.Condition;

/** The agents of the machines that this controller owns, kept in sync with the cluster view. */
final class AgentRegistry {
    private final AgentContext context;
    private final Object2ObjectOpenHashMap<String, AgentState> agents = new Object2ObjectOpenHashMap<>();
    private ClusterView previousView = ClusterView.empty();

    AgentRegistry(AgentContext context) {
        this.context = context;
    }

    /** Returns the agent of a machine, or null if it is not registered. */
    AgentState get(String machine) {
        return agents.get(machine);
    }

    /** Returns the agent of an owned machine, taking it over first if it is not registered yet. */
    AgentState getOrTakeOver(String machine) {
        return agents.computeIfAbsent(
                machine, name -> takeOver((String) name, context.membership().latestRenewalByAnyOwner()));
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
                agents.put(machine, takeOverFromFormerOwner(machine));
            } else {
                agents.get(machine).startEpoch(view.epoch());
            }
        }
        forEachOwnedMachine(machine -> agents.computeIfAbsent(machine, name -> takeOverFromFormerOwner((String) name)));
        previousView = view;
        return reassigned;
    }

    /** Takes over the agents of all owned machines that have a record or claims. */
    void takeOverOwnedMachines() {
        forEachOwnedMachine(this::getOrTakeOver);
    }

    /** Visits all owned machines that have a record or claims, some of them twice. */
    private void forEachOwnedMachine(Consumer<String> visitor) {
        for (MachineRecord machine : context.clusterState().machines()) {
            if (context.owns(machine.name())) {
                visitor.accept(machine.name());
            }
        }
        for (String machine : context.clusterState().claimedMachines()) {
            if (context.owns(machine)) {
                visitor.accept(machine);
            }
        }
    }

    private AgentState takeOverFromFormerOwner(String machine) {
        return takeOver(machine, context.membership().latestRenewalByFormerOwner(machine));
    }

    /** Creates the state of an agent whose lease no other controller can renew after {@code latestRenewal}. */
    private AgentState takeOver(String machine, Instant latestRenewal) {
        AgentState agent = new AgentState(machine, latestRenewal);
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
