/**
 * What a warm standby sees of its controller, and may ask of it.
 *
 * <p>A port between {@code org.havenford.standby} and the controller; it keeps no state but the registered observer.
 */
package org.havenford.coordination.failover;
