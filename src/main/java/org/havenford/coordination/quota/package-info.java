/**
 * Team quotas, divided into shares among the controllers.
 *
 * <p>It owns the charges of this controller's claims that the replica does not show yet. Called by scheduling.
 */
package org.havenford.coordination.quota;
