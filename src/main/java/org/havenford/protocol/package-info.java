/**
 * Messages exchanged with agents, users and the cloud.
 *
 * <p>Translates the field names of these messages to those of the code. The package keeps no state.
 */
package org.havenford.protocol;
