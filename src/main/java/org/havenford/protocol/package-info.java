/**
 * Messages exchanged with agents, users and the cloud.
 *
 * <p>All names used on the wire are translated here, and nowhere else. The package keeps no state.
 */
package org.havenford.protocol;
