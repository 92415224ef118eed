package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * The machines by kind that the unfinished jobs require, as fractional numbers.
 *
 * @param allAtOnce the machines for running all unfinished tasks at the same time
 * @param asNeeded the machines that are sufficient for the jobs to be in time
 */
record MachineDemand(
        Object2DoubleOpenHashMap<InstanceKind> allAtOnce, Object2DoubleOpenHashMap<InstanceKind> asNeeded) {}
