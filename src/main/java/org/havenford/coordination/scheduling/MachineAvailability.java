package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.List;
import java.util.function.Predicate;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.MachineRecord;

/** What the controller knows of machines and of the claims on them beyond the stored state. */
interface MachineAvailability {
    /** The condition of a machine, which may be newer than the recorded one. */
    MachineRecord.Condition condition(MachineRecord machine);

    /** Images that a machine has cached. */
    List<String> images(MachineRecord machine);

    /**
     * Whether a machine takes new tasks at a time of the monotonic clock. The planner keeps the answer until the machine
     * changes.
     */
    Predicate<Instant> takesTasksAt(MachineRecord machine);

    /** Whether the attempt of a claim is known to have ended although the claim has not been released yet. */
    boolean hasEnded(Claim claim);

    /** For each claim on a machine whose transaction is in flight, the specification of its job. */
    List<JobSpec> claimsInFlight(String machine);
}
