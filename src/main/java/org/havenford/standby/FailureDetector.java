package org.havenford.standby;

/** Says of which peers this node believes that they have failed. A belief is no verdict: see {@link FailoverCoordinator}. */
interface FailureDetector {
    /** Whether this incarnation of a peer, which has been heard before, is silent for too long or refuses connections. */
    boolean suspects(String node, long incarnation);
}
