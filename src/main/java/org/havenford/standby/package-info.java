/**
 * Warm standby: every controller follows what the others decide over direct connections, notices when one falls silent, and
 * takes over its machines before its membership lease has ended. Design and proof: docs/standby.md.
 */
package org.havenford.standby;
