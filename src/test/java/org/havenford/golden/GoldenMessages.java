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
 * Message bodies to and from agents, users and the cloud. A message that the main code only parses is written back here
 * from the parsed value, so that every parsed field is compared.
 */
final class GoldenMessages {
    private static final String HEARTBEAT = "report";
    private static final String SUBMISSION = "submission";
    private static final String MACHINE_PAGE = "cloud-machine-page";
    private static final String MACHINE_TYPES = "cloud-machine-types";
    private static final String LAUNCHED = "cloud-rented";

    private GoldenMessages() {}

    /** Builds a message of every format from fixed inputs. */
    static Map<String, JsonElement> buildAll() throws MalformedMessageException {
        Map<String, JsonElement> messages = new LinkedHashMap<>();
        Map<String, String> inputs = new LinkedHashMap<>();
        inputs.put(HEARTBEAT + "#empty", heartbeat("null", false, ""));
        inputs.put(
                HEARTBEAT + "#notice",
                heartbeat("61.5", true, attempt(0, "pulling", "") + "," + attempt(1, "flushing", "")));
        StringBuilder attempts = new StringBuilder(attempt(0, "running", ""));
        int task = 1;
        for (String cause : List.of("done", "stopped", "error", "no_room", "busy", "unknown")) {
            attempts.append(',').append(attempt(task++, "exited", cause));
        }
        inputs.put(HEARTBEAT + "#all-causes", heartbeat("null", true, attempts.toString()));
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
                "{\"boxes\":[" + listedMachine(1, "starting") + "," + listedMachine(2, "running") + ","
                        + listedMachine(3, "failed") + "],\"truncated\":true}");
        inputs.put(LAUNCHED + "#two", "{\"boxes\":[\"host-000001\",\"host-000002\"]}");
        for (Map.Entry<String, String> input : inputs.entrySet()) {
            messages.put(input.getKey(), rewrite(input.getKey(), Json.object(input.getValue())));
        }
        addWriteOnlyMessages(messages);
        return messages;
    }

    private static void addWriteOnlyMessages(Map<String, JsonElement> messages) {
        TaskId task = new TaskId("j-000412", 3);
        List<Command> commands = List.of(
                new Command(Command.Op.RUN, task, 2, Duration.ZERO),
                new Command(Command.Op.STOP, task, 1, Duration.ofMillis(4500)),
                new Command(Command.Op.STOP, task, 1, Duration.ZERO),
                new Command(Command.Op.FORGET, task, 1, Duration.ZERO));
        messages.put("checkin-answer#empty", JsonParser.parseString(Command.heartbeatResponseBody(41, List.of())));
        messages.put(
                "checkin-answer#cues",
                JsonParser.parseString(Command.heartbeatResponseBody(17_179_869_185L, commands)));
        messages.put("do#empty", JsonParser.parseString(Command.directCallBody(41, 3, List.of())));
        messages.put("do#cues", JsonParser.parseString(Command.directCallBody(17_179_869_185L, 3, commands)));
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

    private static String heartbeat(String notice, boolean spot, String attempts) {
        return "{\"box\":\"host-000231\",\"endpoint\":\"10.1.0.232:9000\",\"rig\":\"g8\",\"hall\":\"a\",\"borrowed\":"
                + spot + ",\"shift\":2,\"tally\":88,\"baton\":17179869184,\"warningS\":" + notice + ",\"shots\":["
                + attempts + "]}";
    }

    private static String attempt(int task, String status, String cause) {
        return "{\"shot\":\"j-000412/" + task + "\",\"take\":" + (task + 1) + ",\"status\":\"" + status + "\""
                + (cause.isEmpty() ? "" : ",\"cause\":\"" + cause + "\"") + "}";
    }

    private static String listedMachine(int number, String status) {
        return "{\"nameId\":\"host-" + number + "\",\"endpoint\":\"10.1.0." + number
                + ":9000\",\"rig\":\"g8\",\"hall\":\"a\",\"borrowed\":" + (number == 1) + ",\"status\":\"" + status
                + "\",\"heldS\":61.5}";
    }

    /** Parses a message and writes it back in its wire format; returns null for formats that the code only writes. */
    static JsonElement rewrite(String name, JsonObject message) throws MalformedMessageException {
        return switch (name.substring(0, name.indexOf('#'))) {
            case HEARTBEAT -> writeHeartbeat(Heartbeat.parse(message));
            case SUBMISSION -> JobSpec.parse(message).toJson();
            case MACHINE_TYPES -> MachineType.toJson(MachineType.parseAll(message));
            case MACHINE_PAGE -> writePage(CloudMessages.parseMachinePage(message.toString()));
            case LAUNCHED ->
                JsonParser.parseString(
                        CloudMessages.returnRequestBody(CloudMessages.parseLaunchedMachines(message.toString())));
            default -> null;
        };
    }

    private static JsonObject writeHeartbeat(Heartbeat heartbeat) {
        JsonObject json = new JsonObject();
        json.addProperty("box", heartbeat.machine());
        json.addProperty("endpoint", heartbeat.endpoint());
        json.addProperty("rig", heartbeat.type());
        json.addProperty("hall", heartbeat.zone());
        json.addProperty("borrowed", heartbeat.spot());
        json.addProperty("shift", heartbeat.incarnation());
        json.addProperty("tally", heartbeat.sequence());
        json.addProperty("baton", heartbeat.fencingToken());
        if (heartbeat.spotNoticeSeconds() == null) {
            json.add("warningS", JsonNull.INSTANCE);
        } else {
            json.addProperty("warningS", heartbeat.spotNoticeSeconds());
        }
        JsonArray attempts = new JsonArray();
        for (Heartbeat.AttemptStatus entry : heartbeat.tasks()) {
            JsonObject attempt = new JsonObject();
            attempt.addProperty("shot", entry.task().toString());
            attempt.addProperty("take", entry.attempt());
            attempt.addProperty("status", stateName(entry.state()));
            if (!entry.exitCause().isEmpty()) {
                attempt.addProperty("cause", entry.exitCause());
            }
            attempts.add(attempt);
        }
        json.add("shots", attempts);
        return json;
    }

    private static String stateName(Heartbeat.State state) {
        return switch (state) {
            case PULLING_IMAGE -> "pulling";
            case RUNNING -> "running";
            case CHECKPOINTING -> "flushing";
            case EXITED -> "exited";
        };
    }

    private static JsonObject writePage(CloudMessages.Page page) {
        JsonArray machines = new JsonArray();
        for (CloudMessages.ListedMachine machine : page.machines()) {
            JsonObject machineJson = new JsonObject();
            machineJson.addProperty("nameId", machine.machine());
            machineJson.addProperty("endpoint", machine.endpoint());
            machineJson.addProperty("rig", machine.type());
            machineJson.addProperty("hall", machine.zone());
            machineJson.addProperty("borrowed", machine.spot());
            machineJson.addProperty(
                    "status",
                    switch (machine.status()) {
                        case STARTING -> "starting";
                        case RUNNING -> "running";
                        case FAILED -> "failed";
                    });
            machineJson.addProperty("heldS", machine.age().toMillis() / 1e3);
            machines.add(machineJson);
        }
        JsonObject json = new JsonObject();
        json.add("boxes", machines);
        json.addProperty("truncated", page.hasMore());
        return json;
    }
}
