/**
 * Detection of process pauses and of lost links.
 *
 * <p>It owns when events and answers were last seen. Called by the controller, which wires it between the event loop and all
 * other parts.
 */
package org.havenford.coordination.monitoring;
