package org.havenford.coordination.provisioning;

/** What comes first when the fleet is sized. */
enum ScalingGoal {
    /** Tasks start as soon as possible: machines are requested for all work that is left, and are kept longer. */
    SPEED,
    /** Tasks are in time at the lowest cost. */
    COST
}
