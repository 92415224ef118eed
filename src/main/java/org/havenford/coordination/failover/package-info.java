/**
 * Interface through which a warm standby observes and uses its controller.
 *
 * <p>Decouples {@code org.havenford.standby} from the controller. The only state kept here is the registered observer.
 */
package org.havenford.coordination.failover;
