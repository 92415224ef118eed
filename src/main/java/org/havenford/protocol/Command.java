package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.List;

/** A command to an agent about one attempt of a task; {@code grace} is null except for {@link Op#STOP}. */
public record Command(Op op, TaskId task, long attempt, Duration grace) {
    /** What an agent is asked to do with one attempt of a task. */
    public enum Op {
        RUN("run"),
        STOP("stop"),
        FORGET("forget");

        private final String wire;

        Op(String wire) {
            this.wire = wire;
        }
    }

    /** Body of an answer to a heartbeat. */
    public static String reply(long fencingToken, List<Command> commands) {
        JsonObject json = new JsonObject();
        json.addProperty("baton", fencingToken);
        json.add("cues", array(commands));
        return json.toString();
    }

    /** Body of a direct request with commands, obeyed by one incarnation of an agent alone. */
    public static String direct(long fencingToken, long incarnation, List<Command> commands) {
        JsonObject json = new JsonObject();
        json.addProperty("baton", fencingToken);
        json.addProperty("shift", incarnation);
        json.add("cues", array(commands));
        return json.toString();
    }

    private static JsonArray array(List<Command> commands) {
        JsonArray cues = new JsonArray();
        for (Command command : commands) {
            JsonObject json = new JsonObject();
            json.addProperty("cue", command.op.wire);
            json.addProperty("shot", command.task.toString());
            json.addProperty("take", command.attempt);
            if (command.op == Op.STOP) {
                json.addProperty("fadeS", command.grace.toMillis() / 1e3);
            }
            cues.add(json);
        }
        return cues;
    }
}
