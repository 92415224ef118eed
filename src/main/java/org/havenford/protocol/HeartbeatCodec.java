package org.havenford.protocol;

import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.havenford.protocol.Heartbeat.AttemptStatus;
import org.havenford.protocol.Heartbeat.State;

/** Wire format of heartbeats. */
final class HeartbeatCodec {
    private static final int MAX_MACHINE_NAME_LENGTH = 100;

    private HeartbeatCodec() {}

    static Heartbeat read(JsonObject json) throws MalformedMessageException {
        List<AttemptStatus> attempts = new ArrayList<>();
        for (JsonObject attempt : Json.objects(json, "shots")) {
            attempts.add(parseAttemptStatus(attempt));
        }
        return new Heartbeat(
                parseMachineName(json),
                Json.text(json, "endpoint"),
                Json.text(json, "rig"),
                Json.text(json, "hall"),
                Json.flagOr(json, "borrowed", false),
                Json.count(json, "shift"),
                Json.count(json, "tally"),
                Json.count(json, "baton"),
                Json.has(json, "warningS") ? Json.amount(json, "warningS") : null,
                attempts);
    }

    private static AttemptStatus parseAttemptStatus(JsonObject json) throws MalformedMessageException {
        State state = parseState(Json.text(json, "status"));
        TaskId task = TaskId.parse(Json.text(json, "shot"));
        return new AttemptStatus(task, Json.count(json, "take"), state, Json.textOr(json, "cause", ""));
    }

    private static State parseState(String text) throws MalformedMessageException {
        return switch (text) {
            case "pulling" -> State.PULLING_IMAGE;
            case "running" -> State.RUNNING;
            case "flushing" -> State.CHECKPOINTING;
            case "exited" -> State.EXITED;
            default -> throw new MalformedMessageException("status of a task is unknown");
        };
    }

    /** Reads the machine name, which must be printable ASCII without a slash because it becomes part of store keys. */
    private static String parseMachineName(JsonObject json) throws MalformedMessageException {
        String machine = Json.text(json, "box");
        boolean isPrintable = machine.chars().allMatch(c -> c > ' ' && c <= '~' && c != '/');
        if (machine.isEmpty() || machine.length() > MAX_MACHINE_NAME_LENGTH || !isPrintable) {
            throw new MalformedMessageException("box is not a name");
        }
        return machine;
    }
}
