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
        JsonObject o = new JsonObject();
        o.addProperty("baton", token);
        o.add("cues", array(commands));
        return o.toString();
    }

    /** Body of direct commands. */
    public static String direct(long token, long session, List<Command> commands) {
        JsonObject o = new JsonObject();
        o.addProperty("baton", token);
        o.addProperty("shift", session);
        o.add("cues", array(commands));
        return o.toString();
    }

    private static JsonArray array(List<Command> commands) {
        JsonArray a = new JsonArray();
        for (Command c : commands) {
            JsonObject o = new JsonObject();
            o.addProperty("cue", c.op.wire);
            o.addProperty("shot", c.task.toString());
            o.addProperty("take", c.attempt);
            if (c.op == Op.STOP) {
                o.addProperty("fadeS", c.grace.toMillis() / 1e3);
            }
            a.add(o);
        }
        return a;
    }
}
