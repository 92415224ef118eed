/**
 * Event loop, HTTP client and server, and byte streams between controllers, on XNIO and Undertow.
 *
 * <p>This package manages sockets, timers and buffers, and does not depend on any other package of the project. Other
 * packages use it through {@link EventLoop}, {@link HttpCalls} and {@link PeerNetwork}.
 */
package org.havenford.transport;
