package org.havenford.golden;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonNull;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.CloudMessages;
import org.havenford.protocol.Command;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.protocol.TaskId;
import org.havenford.testing.JobSamples;

/**
 * The bodies of messages to and from workers, users and the cloud. What the code only reads is rendered here in the form of
 * the protocol from what the code has read, so that every field that was understood is compared.
 */
final class GoldenMessages {
    private static final String REPORT = "report";
    private static final String SUBMISSION = "submission";
    private static final String MACHINE_PAGE = "cloud-machine-page";
    private static final String MACHINE_TYPES = "cloud-machine-types";
    private static final String RENTED = "cloud-rented";

    private GoldenMessages() {}

    /** Every form, from fixed inputs. */
    static Map<String, JsonElement> built() throws MalformedMessageException {
        Map<String, JsonElement> messages = new LinkedHashMap<>();
        Map<String, String> inputs = new LinkedHashMap<>();
        inputs.put(REPORT + "#empty", report("null", false, ""));
        inputs.put(REPORT + "#notice", report("61.5", true, shot(0, "pulling", "") + "," + shot(1, "flushing", "")));
        StringBuilder shots = new StringBuilder(shot(0, "running", ""));
        int task = 1;
        for (String cause : List.of("done", "stopped", "error", "no_room", "busy", "unknown")) {
            shots.append(',').append(shot(task++, "exited", cause));
        }
        inputs.put(REPORT + "#all-causes", report("null", true, shots.toString()));
        JsonObject submission = JobSamples.submission("j-000412", 16, 8);
        inputs.put(SUBMISSION + "#least", submission.toString());
        submission.add("rigs", JsonParser.parseString("[\"g8\",\"small\"]"));
        submission.addProperty("hall", "a");
        submission.addProperty("airtimeS", 900.5);
        submission.add("awaits", JsonParser.parseString("[\"j-1\",\"j-2\"]"));
        inputs.put(SUBMISSION + "#all-fields", submission.toString());
        inputs.put(
                MACHINE_TYPES + "#two",
                MachineType.toJson(GoldenStoredValues.types()).toString());
        inputs.put(MACHINE_PAGE + "#last", "{\"boxes\":[],\"truncated\":false}");
        inputs.put(
                MACHINE_PAGE + "#more",
                "{\"boxes\":[" + box(1, "starting") + "," + box(2, "running") + "," + box(3, "failed")
                        + "],\"truncated\":true}");
        inputs.put(RENTED + "#two", "{\"boxes\":[\"host-000001\",\"host-000002\"]}");
        for (Map.Entry<String, String> input : inputs.entrySet()) {
            messages.put(input.getKey(), rewritten(input.getKey(), Json.object(input.getValue())));
        }
        addWritten(messages);
        return messages;
    }

    private static void addWritten(Map<String, JsonElement> messages) {
        TaskId task = new TaskId("j-000412", 3);
        List<Command> commands = List.of(
                new Command(Command.Op.RUN, task, 2, Duration.ZERO),
                new Command(Command.Op.STOP, task, 1, Duration.ofMillis(4500)),
                new Command(Command.Op.STOP, task, 1, Duration.ZERO),
                new Command(Command.Op.FORGET, task, 1, Duration.ZERO));
        messages.put("checkin-answer#empty", JsonParser.parseString(Command.reply(41, List.of())));
        messages.put("checkin-answer#cues", JsonParser.parseString(Command.reply(17_179_869_185L, commands)));
        messages.put("do#empty", JsonParser.parseString(Command.direct(41, 3, List.of())));
        messages.put("do#cues", JsonParser.parseString(Command.direct(17_179_869_185L, 3, commands)));
        messages.put(
                "cloud-rent#spot",
                JsonParser.parseString(CloudMessages.instanceRequestBody("r-2-4-1", "g8", "a", true, 12)));
        messages.put(
                "cloud-rent#ordinary",
                JsonParser.parseString(CloudMessages.instanceRequestBody("r-2-4-2", "g8", "b", false, 1)));
        messages.put(
                "cloud-return#two",
                JsonParser.parseString(CloudMessages.returnRequestBody(List.of("host-000001", "host-000002"))));
    }

    private static String report(String notice, boolean spot, String shots) {
        return "{\"box\":\"host-000231\",\"endpoint\":\"10.1.0.232:9000\",\"rig\":\"g8\",\"hall\":\"a\",\"borrowed\":"
                + spot + ",\"shift\":2,\"tally\":88,\"baton\":17179869184,\"warningS\":" + notice + ",\"shots\":["
                + shots + "]}";
    }

    private static String shot(int task, String status, String cause) {
        return "{\"shot\":\"j-000412/" + task + "\",\"take\":" + (task + 1) + ",\"status\":\"" + status + "\""
                + (cause.isEmpty() ? "" : ",\"cause\":\"" + cause + "\"") + "}";
    }

    private static String box(int number, String status) {
        return "{\"nameId\":\"host-" + number + "\",\"endpoint\":\"10.1.0." + number
                + ":9000\",\"rig\":\"g8\",\"hall\":\"a\",\"borrowed\":" + (number == 1) + ",\"status\":\"" + status
                + "\",\"heldS\":61.5}";
    }

    /** The message as it is understood, in the form of the protocol; null for what is only written. */
    static JsonElement rewritten(String name, JsonObject message) throws MalformedMessageException {
        return switch (name.substring(0, name.indexOf('#'))) {
            case REPORT -> report(Heartbeat.parse(message));
            case SUBMISSION -> JobSpec.parse(message).toJson();
            case MACHINE_TYPES -> MachineType.toJson(MachineType.parseAll(message));
            case MACHINE_PAGE -> page(CloudMessages.machinePage(message.toString()));
            case RENTED ->
                JsonParser.parseString(
                        CloudMessages.returnRequestBody(CloudMessages.launchedMachines(message.toString())));
            default -> null;
        };
    }

    private static JsonObject report(Heartbeat heartbeat) {
        JsonObject out = new JsonObject();
        out.addProperty("box", heartbeat.machine());
        out.addProperty("endpoint", heartbeat.endpoint());
        out.addProperty("rig", heartbeat.type());
        out.addProperty("hall", heartbeat.zone());
        out.addProperty("borrowed", heartbeat.spot());
        out.addProperty("shift", heartbeat.incarnation());
        out.addProperty("tally", heartbeat.sequence());
        out.addProperty("baton", heartbeat.fencingToken());
        if (heartbeat.spotNoticeSeconds() == null) {
            out.add("warningS", JsonNull.INSTANCE);
        } else {
            out.addProperty("warningS", heartbeat.spotNoticeSeconds());
        }
        JsonArray shots = new JsonArray();
        for (Heartbeat.AttemptStatus entry : heartbeat.tasks()) {
            JsonObject shot = new JsonObject();
            shot.addProperty("shot", entry.task().toString());
            shot.addProperty("take", entry.attempt());
            shot.addProperty("status", status(entry.state()));
            if (!entry.exitCause().isEmpty()) {
                shot.addProperty("cause", entry.exitCause());
            }
            shots.add(shot);
        }
        out.add("shots", shots);
        return out;
    }

    private static String status(Heartbeat.State state) {
        return switch (state) {
            case PULLING_IMAGE -> "pulling";
            case RUNNING -> "running";
            case CHECKPOINTING -> "flushing";
            case EXITED -> "exited";
        };
    }

    private static JsonObject page(CloudMessages.Page page) {
        JsonArray boxes = new JsonArray();
        for (CloudMessages.ListedMachine machine : page.machines()) {
            JsonObject box = new JsonObject();
            box.addProperty("nameId", machine.machine());
            box.addProperty("endpoint", machine.endpoint());
            box.addProperty("rig", machine.type());
            box.addProperty("hall", machine.zone());
            box.addProperty("borrowed", machine.spot());
            box.addProperty(
                    "status",
                    switch (machine.status()) {
                        case STARTING -> "starting";
                        case RUNNING -> "running";
                        case FAILED -> "failed";
                    });
            box.addProperty("heldS", machine.age().toMillis() / 1e3);
            boxes.add(box);
        }
        JsonObject out = new JsonObject();
        out.add("boxes", boxes);
        out.addProperty("truncated", page.more());
        return out;
    }
}
