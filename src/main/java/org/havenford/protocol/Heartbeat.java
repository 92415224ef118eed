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
        long session,
        long seq,
        long token,
        Double noticeS,
        List<AttemptStatus> tasks) {

    /** State of one attempt of a task on its machine. */
    public enum State {
        FETCHING,
        RUNNING,
        SAVING,
        EXITED
    }

    /** One attempt of a task as a worker reports it. */
    public record AttemptStatus(TaskId task, long attempt, State state, String why) {}

    /** Reads a worker's report. */
    public static Heartbeat parse(JsonObject o) throws Json.BadMessage {
        List<AttemptStatus> tasks = new ArrayList<>();
        for (JsonObject t : Json.objects(o, "shots")) {
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
        String machine = Json.text(o, "box");
        if (machine.isEmpty()
                || machine.length() > 100
                || machine.chars().anyMatch(c -> c <= ' ' || c > '~' || c == '/')) {
            throw new Json.BadMessage("box is not a name");
        }
        return new Heartbeat(
                machine,
                Json.text(o, "endpoint"),
                Json.text(o, "rig"),
                Json.text(o, "hall"),
                Json.flagOr(o, "borrowed", false),
                Json.count(o, "shift"),
                Json.count(o, "tally"),
                Json.count(o, "baton"),
                Json.has(o, "warningS") ? Json.amount(o, "warningS") : null,
                tasks);
    }

    /** Whether this report was made after another of the same machine. */
    public boolean newerThan(Heartbeat other) {
        return other == null || session > other.session || (session == other.session && seq > other.seq);
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
