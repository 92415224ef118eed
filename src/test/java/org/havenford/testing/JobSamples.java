package org.havenford.testing;

import com.google.gson.JsonObject;

/** Submissions for tests, to be changed field by field. */
public final class JobSamples {
    private JobSamples() {}

    /** A submission of team red that says nothing of where its tasks may run, and does not await others. */
    public static JsonObject submission(String id, int tasks, double cpus) {
        JsonObject o = new JsonObject();
        o.addProperty("nameId", id);
        o.addProperty("lineup", "class");
        o.addProperty("crew", "red");
        o.addProperty("shape", "batch");
        o.addProperty("urgency", "normal");
        o.addProperty("shots", tasks);
        o.addProperty("vcpus", cpus);
        o.addProperty("cards", 0.0);
        o.addProperty("memGb", 1.0);
        o.addProperty("together", false);
        o.addProperty("apart", false);
        o.addProperty("borrowed", true);
        o.addProperty("reel", "img");
        o.addProperty("imageGb", 1.0);
        o.addProperty("guessS", 20.0);
        o.addProperty("keyframeS", 0.0);
        o.addProperty("flushS", 0.0);
        return o;
    }
}
