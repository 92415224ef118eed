package org.havenford.coordination.scheduling;

import org.havenford.protocol.TaskId;

/** A planned assignment of a task to a machine, given by its name. */
record Placement(TaskId task, String machine) {}
