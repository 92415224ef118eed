/**
 * Membership lease, cluster view and eviction of members.
 *
 * <p>This package maintains the lease of this process, the current view, and the pending requests to reassign machines
 * or to change the view. It determines whether this controller may act and which member owns a machine. It is used by
 * the higher-level packages of {@code org.havenford.coordination}.
 */
package org.havenford.coordination.membership;
