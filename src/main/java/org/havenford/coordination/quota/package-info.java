/**
 * Team limits, divided among the controllers.
 *
 * <p>It owns which claims of this controller are charged to its shares but not yet seen in the replica. Called by scheduling.
 */
package org.havenford.coordination.quota;
