package org.havenford.bookkeeping;

import java.time.Instant;
import org.havenford.protocol.TaskId;

/**
 * One attempt of a task, bound to a session of a machine. It holds until a release says otherwise. {@code account} is the
 * controller whose share of the team's limit it is charged to; empty where the team has no limit.
 */
public record Claim(TaskId task, long attempt, String machine, long session, Instant at, String account) {}
