package org.havenford.coordination.provisioning;

/** Reason for returning a machine to the cloud. */
enum ReturnReason {
    /** The cloud lists the machine as failed. */
    FAILED_IN_CLOUD,
    /** The machine has not reported within its boot timeout. */
    BOOT_TIMEOUT,
    /** The machine's owner has marked it as faulty, and no claims are left on it. */
    FAULTY,
    /** The machine has been silent for longer than the operator settings allow. */
    SILENT_TOO_LONG,
    /** The machine is silent and the cloud no longer lists it. */
    SILENT_AND_UNLISTED,
    /** The machine has been idle for longer than the idle period, and its type has more machines than wanted. */
    SURPLUS
}
