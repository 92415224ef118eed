/**
 * Detection of process pauses and lost links.
 *
 * <p>This package keeps the times of the last event and of the last success on each link. The controller places it
 * between the event loop and all other components.
 */
package org.havenford.coordination.monitoring;
