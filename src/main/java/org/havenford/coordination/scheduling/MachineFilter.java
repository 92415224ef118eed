package org.havenford.coordination.scheduling;

/** Machines that one pass of a planning round considers. */
enum MachineFilter {
    ALL,
    /** Only machines that have the job's image or are pulling it. */
    WITH_IMAGE
}
