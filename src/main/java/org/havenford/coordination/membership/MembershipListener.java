package org.havenford.coordination.membership;

/** Receives view changes from the membership, and supplies the machine counts that the membership needs. */
public interface MembershipListener {
    /** Called after the current view has changed. */
    void viewChanged();

    /** Returns the number of machines that a node owns in the current view. */
    int ownedMachineCount(String node);
}
