package org.havenford.coordination.scheduling;

import java.time.Instant;
import java.util.List;
import java.util.function.Predicate;
import org.havenford.protocol.JobSpec;
import org.havenford.storage.records.Claim;
import org.havenford.storage.records.MachineRecord;

/** State of machines, and of the claims on them, that is not in the store or newer than the stored state. */
interface MachineAvailability {
    /** Returns the condition of a machine, which may be newer than the stored one. */
    MachineRecord.Condition condition(MachineRecord machine);

    /** Returns the images that a machine has cached. */
    List<String> images(MachineRecord machine);

    /**
     * Returns a predicate that tests whether a machine accepts new tasks at a time of the monotonic clock. The planner
     * keeps the predicate until the machine's entry is invalidated.
     */
    Predicate<Instant> acceptsTasksAt(MachineRecord machine);

    /** Whether the attempt of a claim is known to have ended although the claim has not been released yet. */
    boolean hasEnded(Claim claim);

    /** Returns the job specification of each claim on a machine whose transaction is in flight. */
    List<JobSpec> claimsInFlight(String machine);
}
