package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.List;

/** A command to an agent about one attempt of a task; {@code grace} is null except for {@link Op#STOP}. */
public record Command(Op op, TaskId task, long attempt, Duration grace) {
    /** Operation that a command requests for one attempt of a task. */
    public enum Op {
        RUN("run"),
        STOP("stop"),
        FORGET("forget");

        private final String wireName;

        Op(String wireName) {
            this.wireName = wireName;
        }
    }

    /** Returns the body of the response to a heartbeat. */
    public static String heartbeatResponseBody(long fencingToken, List<Command> commands) {
        JsonObject json = new JsonObject();
        json.addProperty("baton", fencingToken);
        json.add("cues", commandArray(commands));
        return json.toString();
    }

    /** Returns the body of a direct call with commands for one incarnation of an agent; other incarnations ignore it. */
    public static String directCallBody(long fencingToken, long incarnation, List<Command> commands) {
        JsonObject json = new JsonObject();
        json.addProperty("baton", fencingToken);
        json.addProperty("shift", incarnation);
        json.add("cues", commandArray(commands));
        return json.toString();
    }

    private static JsonArray commandArray(List<Command> commands) {
        JsonArray array = new JsonArray();
        for (Command command : commands) {
            JsonObject json = new JsonObject();
            json.addProperty("cue", command.op.wireName);
            json.addProperty("shot", command.task.toString());
            json.addProperty("take", command.attempt);
            if (command.op == Op.STOP) {
                json.addProperty("fadeS", command.grace.toMillis() / 1e3);
            }
            array.add(json);
        }
        return array;
    }
}
