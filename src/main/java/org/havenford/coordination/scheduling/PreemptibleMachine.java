package org.havenford.coordination.scheduling;

import java.util.List;
import org.havenford.storage.records.Claim;

/** A machine and the claims on it that tasks of a given priority may preempt, the youngest first. */
record PreemptibleMachine(FreeCapacity capacity, List<Claim> claims) {}
