/**
 * Event loop, HTTP client and server, and byte streams between controllers, on XNIO and Undertow.
 *
 * <p>It owns sockets, timers and buffers, and knows nothing of jobs or machines. Called by every other package through
 * {@link EventLoop}, {@link HttpCalls} and {@link PeerNetwork}.
 */
package org.havenford.transport;
