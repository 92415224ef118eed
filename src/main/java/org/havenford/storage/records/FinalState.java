package org.havenford.storage.records;

import com.google.gson.JsonObject;
import java.time.Instant;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * How a job ended. It is stored once, under {@link Keys#finalState}, and never changes.
 *
 * @param endedAt when the job ended, or null where the store does not say: it is written only for jobs that others await
 */
public record FinalState(Status status, int tasks, Instant endedAt) {
    // Stored field names; versions in production read and write them, so they must not change.
    private static final String STATUS = "status";
    private static final String TASKS = "tasks";
    private static final String ENDED_AT = "at";

    /** The two ways in which a job can end. */
    public enum Status {
        /** All tasks are done. */
        DONE("done"),
        /** The job, or one that it needs, was cancelled. */
        CANCELLED("withdrawn");

        private final String stored;

        Status(String stored) {
            this.stored = stored;
        }

        /** The word that the store and the users are given. */
        public String text() {
            return stored;
        }
    }

    /** The final state of a job whose time of ending nobody needs. */
    public static FinalState of(Status status, int tasks) {
        return new FinalState(status, tasks, null);
    }

    /** Tasks that users are told to be done. */
    public int doneTasks() {
        return status == Status.DONE ? tasks : 0;
    }

    /** The value to store. */
    public JsonObject toJson() {
        JsonObject value = new JsonObject();
        value.addProperty(STATUS, status.text());
        value.addProperty(TASKS, tasks);
        if (endedAt != null) {
            value.addProperty(ENDED_AT, endedAt.toEpochMilli());
        }
        return value;
    }

    /** Reads a stored value of this version or of an earlier one. */
    public static FinalState parse(JsonObject value) throws MalformedMessageException {
        Status status = Json.text(value, STATUS).equals(Status.DONE.text()) ? Status.DONE : Status.CANCELLED;
        Instant endedAt = Json.has(value, ENDED_AT) ? Instant.ofEpochMilli(Json.count(value, ENDED_AT)) : null;
        return new FinalState(status, (int) Json.countOr(value, TASKS, 0), endedAt);
    }
}
