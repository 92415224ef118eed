package org.havenford.standby;

/** Local failure detector for peers. A suspicion alone does not evict a peer: see {@link FailoverCoordinator}. */
interface FailureDetector {
    /** Returns whether a known incarnation of a peer was silent or disconnected for too long, or cannot be dialed. */
    boolean suspects(String node, long incarnation);
}
