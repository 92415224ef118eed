/**
 * Team quotas and their division into shares for the controllers.
 *
 * <p>This package keeps the charges of this controller's claims that are not in the replica yet. It is used by the
 * scheduling package.
 */
package org.havenford.coordination.quota;
