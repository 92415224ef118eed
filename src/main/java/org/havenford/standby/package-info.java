/**
 * Warm standby: controllers replicate each other's decisions, detect failed peers, and take over their machines.
 *
 * <p>The package owns the connections between controllers and the state received over them. It accesses its own controller
 * only through {@link org.havenford.coordination.failover.StandbyHost}. Off by default; design and proof are in
 * docs/standby.md.
 */
package org.havenford.standby;
