package org.havenford.coordination.membership;

/** What the membership tells the controller that it belongs to, and needs to know from it. */
public interface MembershipListener {
    /** Called after another view has come into force. */
    void viewChanged();

    /** Returns the number of machines that a node owns in the view in force. */
    int ownedMachines(String node);
}
