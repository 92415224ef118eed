package org.havenford.protocol;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import com.google.gson.JsonPrimitive;
import com.google.gson.Strictness;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import java.io.IOException;
import java.io.StringReader;
import java.math.BigDecimal;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Checked access to JSON. Whatever is missing or of the wrong form throws {@link BadMessage}. */
public final class Json {
    /** A message that can't be understood; its text names the field. */
    public static final class BadMessage extends Exception {
        private static final long serialVersionUID = 1L;

        /** {@code message} says what is wrong with which field. */
        public BadMessage(String message) {
            super(message);
        }
    }

    private Json() {}

    /** Parses a text that must be one JSON object. */
    public static JsonObject object(String text) throws BadMessage {
        try {
            JsonReader reader = new JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT);
            JsonElement e = JsonParser.parseReader(reader);
            if (!e.isJsonObject()) {
                throw new BadMessage("not an object");
            }
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new BadMessage("text after the object");
            }
            return e.getAsJsonObject();
        } catch (JsonParseException
                | IOException
                | IllegalStateException
                | NumberFormatException
                | StackOverflowError e) {
            throw new BadMessage("not JSON");
        }
    }

    private static JsonElement present(JsonObject json, String field) {
        JsonElement e = json.get(field);
        return e == null || e.isJsonNull() ? null : e;
    }

    /** Whether a field is present and not null. */
    public static boolean has(JsonObject json, String field) {
        return present(json, field) != null;
    }

    private static JsonPrimitive primitive(JsonObject json, String field) throws BadMessage {
        JsonElement e = present(json, field);
        if (e == null) {
            throw new BadMessage(field + " is missing");
        }
        if (!e.isJsonPrimitive()) {
            throw new BadMessage(field + " is not a plain value");
        }
        return e.getAsJsonPrimitive();
    }

    /** A text that must be present. */
    public static String text(JsonObject json, String field) throws BadMessage {
        JsonPrimitive p = primitive(json, field);
        if (!p.isString()) {
            throw new BadMessage(field + " is not text");
        }
        return p.getAsString();
    }

    /** A text, or {@code otherwise} where it is absent. */
    public static String textOr(JsonObject json, String field, String otherwise) throws BadMessage {
        return has(json, field) ? text(json, field) : otherwise;
    }

    /** A boolean, or {@code otherwise} where it is absent. */
    public static boolean flagOr(JsonObject json, String field, boolean otherwise) throws BadMessage {
        if (!has(json, field)) {
            return otherwise;
        }
        JsonPrimitive p = primitive(json, field);
        if (!p.isBoolean()) {
            throw new BadMessage(field + " is not true or false");
        }
        return p.getAsBoolean();
    }

    /** A number from 0 on that must be present. */
    public static double amount(JsonObject json, String field) throws BadMessage {
        JsonPrimitive p = primitive(json, field);
        if (!p.isNumber()) {
            throw new BadMessage(field + " is not a number");
        }
        double d = p.getAsDouble();
        if (!Double.isFinite(d) || d < 0 || d > 1e9) {
            throw new BadMessage(field + " is out of range");
        }
        return d;
    }

    /** A number from 0 on, or {@code otherwise} where it is absent. */
    public static double amountOr(JsonObject json, String field, double otherwise) throws BadMessage {
        return has(json, field) ? amount(json, field) : otherwise;
    }

    /** A duration in seconds that must be present. */
    public static Duration seconds(JsonObject json, String field) throws BadMessage {
        return Duration.ofNanos((long) (amount(json, field) * 1e9));
    }

    /** A whole number from 0 on that must be present. */
    public static long count(JsonObject json, String field) throws BadMessage {
        JsonPrimitive p = primitive(json, field);
        if (!p.isNumber()) {
            throw new BadMessage(field + " is not a number");
        }
        String digits = p.getAsString();
        if (plain(digits)) {
            return Long.parseLong(digits);
        }
        try {
            BigDecimal d = new BigDecimal(digits);
            if (d.scale() < -20 || d.signum() < 0 || d.precision() - d.scale() > 19) {
                throw new BadMessage(field + " is out of range");
            }
            return d.longValueExact();
        } catch (NumberFormatException | ArithmeticException e) {
            throw new BadMessage(field + " is not a whole number");
        }
    }

    /** Nearly every count is written in a few plain digits, and there are thousands a second. */
    private static boolean plain(String s) {
        for (int i = 0; i < s.length(); i++) {
            if (s.charAt(i) < '0' || s.charAt(i) > '9') {
                return false;
            }
        }
        return !s.isEmpty() && s.length() <= 18;
    }

    /** A whole number from 0 on, or {@code otherwise} where it is absent. */
    public static long countOr(JsonObject json, String field, long otherwise) throws BadMessage {
        return has(json, field) ? count(json, field) : otherwise;
    }

    /** An object that must be present. */
    public static JsonObject child(JsonObject json, String field) throws BadMessage {
        JsonElement e = present(json, field);
        if (e == null || !e.isJsonObject()) {
            throw new BadMessage(field + " is not an object");
        }
        return e.getAsJsonObject();
    }

    /** An array; an empty one where it is absent. */
    public static JsonArray array(JsonObject json, String field) throws BadMessage {
        JsonElement e = present(json, field);
        if (e == null) {
            return new JsonArray();
        }
        if (!e.isJsonArray()) {
            throw new BadMessage(field + " is not an array");
        }
        return e.getAsJsonArray();
    }

    /** An array of objects; an empty one where it is absent. */
    public static List<JsonObject> objects(JsonObject json, String field) throws BadMessage {
        List<JsonObject> out = new ArrayList<>();
        for (JsonElement e : array(json, field)) {
            if (!e.isJsonObject()) {
                throw new BadMessage(field + " holds something that is not an object");
            }
            out.add(e.getAsJsonObject());
        }
        return out;
    }

    /** An array of texts; an empty one where it is absent. */
    public static List<String> texts(JsonObject json, String field) throws BadMessage {
        List<String> out = new ArrayList<>();
        for (JsonElement e : array(json, field)) {
            if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
                throw new BadMessage(field + " holds something that is not text");
            }
            out.add(e.getAsString());
        }
        return out;
    }
}
