/**
 * Constraints on where a task may start.
 *
 * <p>The rules are pure functions of a job, a machine and the zones of the job's other tasks. The package keeps no
 * state; job submission, scheduling and provisioning call it.
 */
package org.havenford.coordination.placement;
