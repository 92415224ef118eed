package org.havenford.coordination.provisioning;

/** The goal that takes precedence when the fleet is sized. */
enum ScalingGoal {
    /** Start tasks as soon as possible: request machines for all unfinished tasks, and keep idle machines longer. */
    SPEED,
    /** Finish jobs in time at the lowest cost. */
    COST
}
