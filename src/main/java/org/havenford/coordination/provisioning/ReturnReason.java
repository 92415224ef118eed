package org.havenford.coordination.provisioning;

/** Why a machine is returned to the cloud. */
enum ReturnReason {
    /** The cloud lists the machine as failed. */
    FAILED_IN_CLOUD,
    /** It has not reported within several times its nominal boot time. */
    BOOT_TIMEOUT,
    /** Its owner found it faulty, and it holds no claim any more. */
    FAULTY,
    /** It has been silent for longer than the operator allows. */
    SILENT_TOO_LONG,
    /** It is silent and the cloud no longer lists it. */
    SILENT_AND_UNLISTED,
    /** It has been idle for the idle period, and there are more machines of its type than wanted. */
    SURPLUS
}
