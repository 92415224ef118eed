package org.havenford.coordination.provisioning;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/**
 * Machines by kind that the unfinished work asks for, not in whole numbers.
 *
 * @param allAtOnce what all tasks that are left could use at the same time
 * @param asNeeded what the jobs need to be in time
 */
record MachineDemand(
        Object2DoubleOpenHashMap<InstanceKind> allAtOnce, Object2DoubleOpenHashMap<InstanceKind> asNeeded) {}
