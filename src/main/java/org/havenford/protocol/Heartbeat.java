package org.havenford.protocol;

import com.google.gson.JsonObject;
import java.util.List;

/**
 * What an agent reports of itself and of the attempts on its machine. {@code spotNoticeSeconds} is the time left before a spot
 * machine is taken away, or null without such a notice.
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

    /** State of one attempt of a task on its machine. */
    public enum State {
        PULLING_IMAGE,
        RUNNING,
        CHECKPOINTING,
        EXITED
    }

    /** One attempt of a task as an agent reports it; {@code exitCause} is empty unless it has exited. */
    public record AttemptStatus(TaskId task, long attempt, State state, String exitCause) {}

    /** Reads an agent's heartbeat. */
    public static Heartbeat parse(JsonObject json) throws MalformedMessageException {
        return HeartbeatCodec.read(json);
    }

    /** Whether this heartbeat was made after another of the same machine. */
    public boolean newerThan(Heartbeat other) {
        return other == null
                || incarnation > other.incarnation
                || (incarnation == other.incarnation && sequence > other.sequence);
    }

    /** The entry of an attempt, or null. */
    public AttemptStatus find(TaskId task, long attempt) {
        for (AttemptStatus status : tasks) {
            if (status.attempt() == attempt && status.task().equals(task)) {
                return status;
            }
        }
        return null;
    }
}
