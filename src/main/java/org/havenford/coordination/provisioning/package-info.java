/**
 * Scales the fleet out and in through the cloud.
 *
 * <p>It owns the averaged demand, refusals and boot times seen by this process; instance requests and machines are records of
 * the store. Only the first active member of the view acts. Called by the controller.
 */
package org.havenford.coordination.provisioning;
