package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.List;

/** A command to a worker about one attempt of a task. */
public record Command(Op op, TaskId task, long attempt, Duration grace) {
    /** What a worker is asked to do with one attempt of a task. */
    public enum Op {
        RUN("run"),
        STOP("stop"),
        FORGET("forget");

        private final String wire;

        Op(String wire) {
            this.wire = wire;
        }
    }

    /** Body of an answer to a report. */
    public static String reply(long token, List<Command> commands) {
        JsonObject json = new JsonObject();
        json.addProperty("baton", token);
        json.add("cues", array(commands));
        return json.toString();
    }

    /** Body of direct commands. */
    public static String direct(long token, long session, List<Command> commands) {
        JsonObject json = new JsonObject();
        json.addProperty("baton", token);
        json.addProperty("shift", session);
        json.add("cues", array(commands));
        return json.toString();
    }

    private static JsonArray array(List<Command> commands) {
        JsonArray a = new JsonArray();
        for (Command c : commands) {
            JsonObject json = new JsonObject();
            json.addProperty("cue", c.op.wire);
            json.addProperty("shot", c.task.toString());
            json.addProperty("take", c.attempt);
            if (c.op == Op.STOP) {
                json.addProperty("fadeS", c.grace.toMillis() / 1e3);
            }
            a.add(json);
        }
        return a;
    }
}
