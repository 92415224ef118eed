/**
 * Warm standby: controllers that follow each other's decisions, suspect a silent peer, and take over its machines.
 *
 * <p>It owns the connections between controllers and what was heard over them. It sees its own controller only through
 * {@link org.havenford.coordination.failover.StandbyHost}. Off by default; design and proof are in docs/standby.md.
 */
package org.havenford.standby;
