package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The cloud's requests and answers. */
public final class CloudMessages {
    /** State of a machine in the cloud's list. */
    public enum Status {
        STARTING,
        RUNNING,
        FAILED
    }

    /** One machine of the cloud's list; {@code age} is the time since it was rented. */
    public record ListedMachine(
            String machine, String endpoint, String type, String zone, boolean spot, Status status, Duration age) {}

    /** One page of the cloud's list of machines. */
    public record Page(List<ListedMachine> machines, boolean more) {}

    private CloudMessages() {}

    /** Body of a rental request. */
    public static String instanceRequestBody(String booking, String type, String zone, boolean spot, int count) {
        JsonObject json = new JsonObject();
        json.addProperty("booking", booking);
        json.addProperty("rig", type);
        json.addProperty("hall", zone);
        json.addProperty("borrowed", spot);
        json.addProperty("count", count);
        return json.toString();
    }

    /** Names of the machines that a rental has brought. */
    public static List<String> launchedMachines(String body) throws MalformedMessageException {
        return Json.texts(Json.object(body), "boxes");
    }

    /** Body of a request to return machines. */
    public static String returnRequestBody(List<String> machines) {
        JsonArray names = new JsonArray();
        machines.forEach(names::add);
        JsonObject json = new JsonObject();
        json.add("boxes", names);
        return json.toString();
    }

    /** Reads a page of the machine list. */
    public static Page machinePage(String body) throws MalformedMessageException {
        JsonObject json = Json.object(body);
        List<ListedMachine> machines = new ArrayList<>();
        for (JsonObject machine : Json.objects(json, "boxes")) {
            machines.add(machine(machine));
        }
        return new Page(machines, Json.flagOr(json, "truncated", false));
    }

    private static ListedMachine machine(JsonObject json) throws MalformedMessageException {
        Status status = status(Json.text(json, "status"));
        return new ListedMachine(
                Json.text(json, "nameId"),
                Json.textOr(json, "endpoint", ""),
                Json.text(json, "rig"),
                Json.text(json, "hall"),
                Json.flagOr(json, "borrowed", false),
                status,
                Json.seconds(json, "heldS"));
    }

    private static Status status(String text) throws MalformedMessageException {
        return switch (text) {
            case "starting" -> Status.STARTING;
            case "running" -> Status.RUNNING;
            case "failed" -> Status.FAILED;
            default -> throw new MalformedMessageException("status of a machine is unknown");
        };
    }
}
