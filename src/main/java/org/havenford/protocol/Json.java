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

        public BadMessage(String message) {
            super(message);
        }
    }

    private Json() {}

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

    private static JsonElement present(JsonObject o, String field) {
        JsonElement e = o.get(field);
        return e == null || e.isJsonNull() ? null : e;
    }

    public static boolean has(JsonObject o, String field) {
        return present(o, field) != null;
    }

    private static JsonPrimitive primitive(JsonObject o, String field) throws BadMessage {
        JsonElement e = present(o, field);
        if (e == null) {
            throw new BadMessage(field + " is missing");
        }
        if (!e.isJsonPrimitive()) {
            throw new BadMessage(field + " is not a plain value");
        }
        return e.getAsJsonPrimitive();
    }

    public static String text(JsonObject o, String field) throws BadMessage {
        JsonPrimitive p = primitive(o, field);
        if (!p.isString()) {
            throw new BadMessage(field + " is not text");
        }
        return p.getAsString();
    }

    public static String textOr(JsonObject o, String field, String otherwise) throws BadMessage {
        return has(o, field) ? text(o, field) : otherwise;
    }

    public static boolean flagOr(JsonObject o, String field, boolean otherwise) throws BadMessage {
        if (!has(o, field)) {
            return otherwise;
        }
        JsonPrimitive p = primitive(o, field);
        if (!p.isBoolean()) {
            throw new BadMessage(field + " is not true or false");
        }
        return p.getAsBoolean();
    }

    public static double amount(JsonObject o, String field) throws BadMessage {
        JsonPrimitive p = primitive(o, field);
        if (!p.isNumber()) {
            throw new BadMessage(field + " is not a number");
        }
        double d = p.getAsDouble();
        if (!Double.isFinite(d) || d < 0 || d > 1e9) {
            throw new BadMessage(field + " is out of range");
        }
        return d;
    }

    public static double amountOr(JsonObject o, String field, double otherwise) throws BadMessage {
        return has(o, field) ? amount(o, field) : otherwise;
    }

    public static Duration seconds(JsonObject o, String field) throws BadMessage {
        return Duration.ofNanos((long) (amount(o, field) * 1e9));
    }

    public static long count(JsonObject o, String field) throws BadMessage {
        JsonPrimitive p = primitive(o, field);
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

    public static long countOr(JsonObject o, String field, long otherwise) throws BadMessage {
        return has(o, field) ? count(o, field) : otherwise;
    }

    public static JsonObject child(JsonObject o, String field) throws BadMessage {
        JsonElement e = present(o, field);
        if (e == null || !e.isJsonObject()) {
            throw new BadMessage(field + " is not an object");
        }
        return e.getAsJsonObject();
    }

    public static JsonArray array(JsonObject o, String field) throws BadMessage {
        JsonElement e = present(o, field);
        if (e == null) {
            return new JsonArray();
        }
        if (!e.isJsonArray()) {
            throw new BadMessage(field + " is not an array");
        }
        return e.getAsJsonArray();
    }

    public static List<JsonObject> objects(JsonObject o, String field) throws BadMessage {
        List<JsonObject> out = new ArrayList<>();
        for (JsonElement e : array(o, field)) {
            if (!e.isJsonObject()) {
                throw new BadMessage(field + " holds something that is not an object");
            }
            out.add(e.getAsJsonObject());
        }
        return out;
    }

    public static List<String> texts(JsonObject o, String field) throws BadMessage {
        List<String> out = new ArrayList<>();
        for (JsonElement e : array(o, field)) {
            if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
                throw new BadMessage(field + " holds something that is not text");
            }
            out.add(e.getAsString());
        }
        return out;
    }
}
