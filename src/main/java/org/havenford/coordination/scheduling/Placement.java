package org.havenford.coordination.scheduling;

import org.havenford.protocol.TaskId;

/** A task and the name of the machine that is to run it. */
record Placement(TaskId task, String machine) {}
