/**
 * Scales the fleet out and in through the cloud.
 *
 * <p>Instance requests and machines are records in the store. Averaged demand, capacity refusals and recent boot times
 * are kept in memory. Only the provisioning leader, which is the first active member of the view, scales the fleet. The
 * entry point is {@link Provisioner#step}, called by the controller.
 */
package org.havenford.coordination.provisioning;
