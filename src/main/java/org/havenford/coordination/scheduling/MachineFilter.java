package org.havenford.coordination.scheduling;

/** Selects the machines that one pass of a planning round considers. */
enum MachineFilter {
    ALL,
    /** Only machines that have the job's image cached or may be pulling it. */
    WITH_IMAGE
}
