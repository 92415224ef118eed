/**
 * Decides which task starts where and which claims are preempted, commits claims, and releases tasks that have ended.
 *
 * <p>The package holds the free capacity computed for each machine, the order of jobs and the back-off of failing jobs.
 * The controller calls it in rounds; provisioning uses its rules on failing jobs.
 */
package org.havenford.coordination.scheduling;
