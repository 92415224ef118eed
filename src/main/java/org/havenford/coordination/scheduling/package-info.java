/**
 * Decides which task starts where and which claims are preempted, commits claims, and releases tasks that have ended.
 *
 * <p>It owns the free capacity computed for each machine, the order of jobs and back-off of failing ones. Called by the
 * controller in rounds; provisioning reads its rules on failing jobs.
 */
package org.havenford.coordination.scheduling;
