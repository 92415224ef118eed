/**
 * Constraints on where a task may start.
 *
 * <p>Pure rules over a job, a machine and the zones of the other tasks; no state of its own. Called by jobs, scheduling and
 * provisioning.
 */
package org.havenford.coordination.placement;
