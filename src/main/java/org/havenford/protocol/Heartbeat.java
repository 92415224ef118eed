package org.havenford.protocol;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;

/** What a worker says of itself and its tasks. */
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
        FETCHING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** One attempt of a task as a worker reports it. */
    public record AttemptStatus(TaskId task, long attempt, State state, String exitCause) {}

    /** Reads a worker's report. */
    public static Heartbeat parse(JsonObject json) throws Json.BadMessage {
        List<AttemptStatus> tasks = new ArrayList<>();
        for (JsonObject t : Json.objects(json, "shots")) {
            State state =
                    switch (Json.text(t, "status")) {
                        case "pulling" -> State.FETCHING;
                        case "running" -> State.RUNNING;
                        case "flushing" -> State.SAVING;
                        case "exited" -> State.EXITED;
                        default -> throw new Json.BadMessage("status of a task is unknown");
                    };
            tasks.add(new AttemptStatus(
                    TaskId.parse(Json.text(t, "shot")), Json.count(t, "take"), state, Json.textOr(t, "cause", "")));
        }
        String machine = Json.text(json, "box");
        if (machine.isEmpty()
                || machine.length() > 100
                || machine.chars().anyMatch(c -> c <= ' ' || c > '~' || c == '/')) {
            throw new Json.BadMessage("box is not a name");
        }
        return new Heartbeat(
                machine,
                Json.text(json, "endpoint"),
                Json.text(json, "rig"),
                Json.text(json, "hall"),
                Json.flagOr(json, "borrowed", false),
                Json.count(json, "shift"),
                Json.count(json, "tally"),
                Json.count(json, "baton"),
                Json.has(json, "warningS") ? Json.amount(json, "warningS") : null,
                tasks);
    }

    /** Whether this report was made after another of the same machine. */
    public boolean newerThan(Heartbeat other) {
        return other == null
                || incarnation > other.incarnation
                || (incarnation == other.incarnation && sequence > other.sequence);
    }

    /** The entry of an attempt, or null. */
    public AttemptStatus find(TaskId task, long attempt) {
        for (AttemptStatus e : tasks) {
            if (e.attempt() == attempt && e.task().equals(task)) {
                return e;
            }
        }
        return null;
    }
}
