package org.havenford.storage.records;

import com.google.gson.JsonObject;
import java.time.Instant;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * The final state of a job, stored once under {@link Keys#finalState} and never changed.
 *
 * @param tasks number of tasks of the job
 * @param endedAt when the job ended, or null if this is not stored: only jobs on which other jobs depend need it
 */
public record FinalState(Status status, int tasks, Instant endedAt) {
    // Names of stored fields. Versions in production read and write them, so they must not change.
    private static final String STATUS = "status";
    private static final String TASKS = "tasks";
    private static final String ENDED_AT = "at";

    /** The outcome of a job. */
    public enum Status {
        /** All tasks are done. */
        DONE("done"),
        /** The job, or one that it depends on, was cancelled. */
        CANCELLED("withdrawn");

        private final String storedName;

        Status(String storedName) {
            this.storedName = storedName;
        }

        /** Returns the name of the outcome in stored values and in answers to users. */
        public String text() {
            return storedName;
        }
    }

    /** Creates the final state of a job on which no other job depends, without the time at which it ended. */
    public static FinalState of(Status status, int tasks) {
        return new FinalState(status, tasks, null);
    }

    /** Returns the number of done tasks to report to users: all tasks of a done job, 0 for a cancelled job. */
    public int doneTasks() {
        return status == Status.DONE ? tasks : 0;
    }

    /** Returns the value to store. */
    public JsonObject toJson() {
        JsonObject value = new JsonObject();
        value.addProperty(STATUS, status.text());
        value.addProperty(TASKS, tasks);
        if (endedAt != null) {
            value.addProperty(ENDED_AT, endedAt.toEpochMilli());
        }
        return value;
    }

    /** Parses a value stored by this version or an earlier one. */
    public static FinalState parse(JsonObject value) throws MalformedMessageException {
        Status status = Json.text(value, STATUS).equals(Status.DONE.text()) ? Status.DONE : Status.CANCELLED;
        Instant endedAt = Json.has(value, ENDED_AT) ? Instant.ofEpochMilli(Json.count(value, ENDED_AT)) : null;
        return new FinalState(status, (int) Json.countOr(value, TASKS, 0), endedAt);
    }
}
