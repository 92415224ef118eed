package org.havenford.testing;

import com.google.gson.JsonObject;

/** Sample submissions, whose fields a test can change. */
public final class JobSamples {
    private JobSamples() {}

    /** Returns a submission of team red without placement constraints, a deadline or dependencies. */
    public static JsonObject submission(String id, int taskCount, double cpus) {
        JsonObject json = new JsonObject();
        json.addProperty("nameId", id);
        json.addProperty("lineup", "class");
        json.addProperty("crew", "red");
        json.addProperty("shape", "batch");
        json.addProperty("urgency", "normal");
        json.addProperty("shots", taskCount);
        json.addProperty("vcpus", cpus);
        json.addProperty("cards", 0.0);
        json.addProperty("memGb", 1.0);
        json.addProperty("together", false);
        json.addProperty("apart", false);
        json.addProperty("borrowed", true);
        json.addProperty("reel", "img");
        json.addProperty("imageGb", 1.0);
        json.addProperty("guessS", 20.0);
        json.addProperty("keyframeS", 0.0);
        json.addProperty("flushS", 0.0);
        return json;
    }
}
