/**
 * Membership lease, cluster view and eviction of members.
 *
 * <p>It owns the lease of this process, the view in force, and which machines and members it wants changed. It answers
 * whether this controller may act, and who owns a machine. Called by all packages of coordination above it.
 */
package org.havenford.coordination.membership;
