package org.havenford.protocol;

import com.google.gson.JsonObject;
import java.util.List;

/**
 * A heartbeat of an agent: the agent's state and the attempts on its machine. {@code spotNoticeSeconds} is the time left
 * before the cloud interrupts a spot machine, or null if no interruption is announced.
 */
public record Heartbeat(
        String machine,
        String endpoint,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long fencingToken,
        Double spotNoticeSeconds,
        List<AttemptStatus> tasks) {

    /** State of an attempt of a task on its machine. */
    public enum State {
        PULLING_IMAGE,
        RUNNING,
        CHECKPOINTING,
        EXITED
    }

    /** Reported status of one attempt of a task; {@code exitCause} is empty unless the attempt has exited. */
    public record AttemptStatus(TaskId task, long attempt, State state, String exitCause) {}

    /** Parses a heartbeat. */
    public static Heartbeat parse(JsonObject json) throws MalformedMessageException {
        return HeartbeatCodec.read(json);
    }

    /** Returns whether this heartbeat was created after another of the same machine; {@code other} may be null. */
    public boolean isNewerThan(Heartbeat other) {
        return other == null
                || incarnation > other.incarnation
                || (incarnation == other.incarnation && sequence > other.sequence);
    }

    /** Returns the status of an attempt, or null if the heartbeat has none. */
    public AttemptStatus find(TaskId task, long attempt) {
        for (AttemptStatus status : tasks) {
            if (status.attempt() == attempt && status.task().equals(task)) {
                return status;
            }
        }
        return null;
    }
}
