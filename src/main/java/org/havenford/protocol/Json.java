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

/** Checked access to JSON. Whatever is missing or of the wrong form throws {@link MalformedMessageException}. */
public final class Json {
    /** Larger than any number in a valid message. */
    private static final double MAX_AMOUNT = 1e9;
    /** Digits that certainly fit a long. */
    private static final int MAX_PLAIN_DIGITS = 18;

    private static final int MAX_DIGITS = 19;
    /** A number with a larger exponent would be expanded to that many digits before it is refused. */
    private static final int MIN_SCALE = -20;

    private Json() {}

    /** Parses a text that must be one JSON object. */
    public static JsonObject object(String text) throws MalformedMessageException {
        try {
            JsonReader reader = new JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT);
            JsonElement e = JsonParser.parseReader(reader);
            if (!e.isJsonObject()) {
                throw new MalformedMessageException("not an object");
            }
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new MalformedMessageException("text after the object");
            }
            return e.getAsJsonObject();
        } catch (JsonParseException
                | IOException
                | IllegalStateException
                | NumberFormatException
                | StackOverflowError e) {
            throw new MalformedMessageException("not JSON");
        }
    }

    private static JsonElement present(JsonObject json, String field) {
        JsonElement element = json.get(field);
        return element == null || element.isJsonNull() ? null : element;
    }

    /** Whether a field is present and not null. */
    public static boolean has(JsonObject json, String field) {
        return present(json, field) != null;
    }

    private static JsonPrimitive primitive(JsonObject json, String field) throws MalformedMessageException {
        JsonElement element = present(json, field);
        if (element == null) {
            throw new MalformedMessageException(field + " is missing");
        }
        if (!element.isJsonPrimitive()) {
            throw new MalformedMessageException(field + " is not a plain value");
        }
        return element.getAsJsonPrimitive();
    }

    /** A text that must be present. */
    public static String text(JsonObject json, String field) throws MalformedMessageException {
        JsonPrimitive value = primitive(json, field);
        if (!value.isString()) {
            throw new MalformedMessageException(field + " is not text");
        }
        return value.getAsString();
    }

    /** A text, or {@code otherwise} where it is absent. */
    public static String textOr(JsonObject json, String field, String otherwise) throws MalformedMessageException {
        return has(json, field) ? text(json, field) : otherwise;
    }

    /** A boolean, or {@code otherwise} where it is absent. */
    public static boolean flagOr(JsonObject json, String field, boolean otherwise) throws MalformedMessageException {
        if (!has(json, field)) {
            return otherwise;
        }
        JsonPrimitive value = primitive(json, field);
        if (!value.isBoolean()) {
            throw new MalformedMessageException(field + " is not true or false");
        }
        return value.getAsBoolean();
    }

    /** A number from 0 on that must be present. */
    public static double amount(JsonObject json, String field) throws MalformedMessageException {
        JsonPrimitive value = primitive(json, field);
        if (!value.isNumber()) {
            throw new MalformedMessageException(field + " is not a number");
        }
        double number = value.getAsDouble();
        if (!Double.isFinite(number) || number < 0 || number > MAX_AMOUNT) {
            throw new MalformedMessageException(field + " is out of range");
        }
        return number;
    }

    /** A number from 0 on, or {@code otherwise} where it is absent. */
    public static double amountOr(JsonObject json, String field, double otherwise) throws MalformedMessageException {
        return has(json, field) ? amount(json, field) : otherwise;
    }

    /** A number above 0 that must be present. */
    public static double positive(JsonObject json, String field) throws MalformedMessageException {
        double value = amount(json, field);
        if (value <= 0) {
            throw new MalformedMessageException(field + " must be more than 0");
        }
        return value;
    }

    /** A duration in seconds that must be present. */
    public static Duration seconds(JsonObject json, String field) throws MalformedMessageException {
        return Duration.ofNanos((long) (amount(json, field) * 1e9));
    }

    /** A whole number from 0 on that must be present. */
    public static long count(JsonObject json, String field) throws MalformedMessageException {
        JsonPrimitive value = primitive(json, field);
        if (!value.isNumber()) {
            throw new MalformedMessageException(field + " is not a number");
        }
        String digits = value.getAsString();
        if (isPlain(digits)) {
            return Long.parseLong(digits);
        }
        try {
            BigDecimal number = new BigDecimal(digits);
            if (number.scale() < MIN_SCALE || number.signum() < 0 || number.precision() - number.scale() > MAX_DIGITS) {
                throw new MalformedMessageException(field + " is out of range");
            }
            return number.longValueExact();
        } catch (NumberFormatException | ArithmeticException e) {
            throw new MalformedMessageException(field + " is not a whole number");
        }
    }

    /** Nearly every count is written in a few plain digits, and there are thousands a second. */
    private static boolean isPlain(String digits) {
        for (int i = 0; i < digits.length(); i++) {
            if (digits.charAt(i) < '0' || digits.charAt(i) > '9') {
                return false;
            }
        }
        return !digits.isEmpty() && digits.length() <= MAX_PLAIN_DIGITS;
    }

    /** A whole number from 0 on, or {@code otherwise} where it is absent. */
    public static long countOr(JsonObject json, String field, long otherwise) throws MalformedMessageException {
        return has(json, field) ? count(json, field) : otherwise;
    }

    /** An object that must be present. */
    public static JsonObject child(JsonObject json, String field) throws MalformedMessageException {
        JsonElement element = present(json, field);
        if (element == null || !element.isJsonObject()) {
            throw new MalformedMessageException(field + " is not an object");
        }
        return element.getAsJsonObject();
    }

    /** An array; an empty one where it is absent. */
    public static JsonArray array(JsonObject json, String field) throws MalformedMessageException {
        JsonElement element = present(json, field);
        if (element == null) {
            return new JsonArray();
        }
        if (!element.isJsonArray()) {
            throw new MalformedMessageException(field + " is not an array");
        }
        return element.getAsJsonArray();
    }

    /** An array of objects; an empty one where it is absent. */
    public static List<JsonObject> objects(JsonObject json, String field) throws MalformedMessageException {
        List<JsonObject> out = new ArrayList<>();
        for (JsonElement e : array(json, field)) {
            if (!e.isJsonObject()) {
                throw new MalformedMessageException(field + " holds something that is not an object");
            }
            out.add(e.getAsJsonObject());
        }
        return out;
    }

    /** An array of texts; an empty one where it is absent. */
    public static List<String> texts(JsonObject json, String field) throws MalformedMessageException {
        List<String> out = new ArrayList<>();
        for (JsonElement e : array(json, field)) {
            if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
                throw new MalformedMessageException(field + " holds something that is not text");
            }
            out.add(e.getAsString());
        }
        return out;
    }
}
