package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Wire format of the cloud API: bodies of requests and of responses. */
public final class CloudMessages {
    /** State of a machine in the cloud's machine list. */
    public enum Status {
        STARTING,
        RUNNING,
        FAILED
    }

    /** An entry of the cloud's machine list; {@code age} is the time since the machine was launched. */
    public record ListedMachine(
            String machine, String endpoint, String type, String zone, boolean spot, Status status, Duration age) {}

    /** One page of the cloud's machine list; {@code hasMore} is true if the list continues after it. */
    public record Page(List<ListedMachine> machines, boolean hasMore) {}

    private CloudMessages() {}

    /** Returns the body of an instance request; {@code requestName} identifies the request. */
    public static String instanceRequestBody(String requestName, String type, String zone, boolean spot, int count) {
        JsonObject json = new JsonObject();
        json.addProperty("booking", requestName);
        json.addProperty("rig", type);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("count", count);
        return json.toString();
    }

    /** Reads the names of the launched instances from the response to an instance request. */
    public static List<String> parseLaunchedMachines(String body) throws MalformedMessageException {
        return Json.texts(Json.object(body), "boxes");
    }

    /** Returns the body of a request to return machines to the cloud. */
    public static String returnRequestBody(List<String> machines) {
        JsonArray names = new JsonArray();
        machines.forEach(names::add);
        JsonObject json = new JsonObject();
        json.add("boxes", names);
        return json.toString();
    }

    /** Reads one page of the machine list. */
    public static Page parseMachinePage(String body) throws MalformedMessageException {
        JsonObject json = Json.object(body);
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonObject machine : Json.objects(json, "boxes")) {
            machines.add(parseListedMachine(machine));
        }
        return new Page(machines, Json.flagOr(json, "truncated", false));
    }

    private static ListedMachine parseListedMachine(JsonObject json) throws MalformedMessageException {
        Status status = parseStatus(Json.text(json, "status"));
        return new ListedMachine(
                Json.text(json, "nameId"),
                Json.textOr(json, "endpoint", ""),
                Json.text(json, "rig"),
                Json.text(json, "hall"),
                Json.flagOr(json, "borrowed", false),
                status,
                Json.seconds(json, "heldS"));
    }

    private static Status parseStatus(String text) throws MalformedMessageException {
        return switch (text) {
            case "starting" -> Status.STARTING;
            case "running" -> Status.RUNNING;
            case "failed" -> Status.FAILED;
            default -> throw new MalformedMessageException("status of a machine is unknown");
        };
    }
}
