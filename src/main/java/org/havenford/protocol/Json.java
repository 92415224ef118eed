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

/** Validating access to JSON. Missing or invalid values cause a {@link MalformedMessageException}. */
public final class Json {
    /** Upper bound of amounts; no valid message has a larger one. */
    private static final double MAX_AMOUNT = 1e9;
    /** Every number with this many digits fits a long. */
    private static final int MAX_SHORT_DIGITS = 18;

    /** Number of digits of {@link Long#MAX_VALUE}. */
    private static final int MAX_DIGITS = 19;
    /** Limits the exponent: conversion to a long would first expand a number like 1e1000000 to all of its digits. */
    private static final int MIN_SCALE = -20;
    /** Nesting deeper than any text of the largest body can have, as unknown fields may be nested at will. */
    private static final int MAX_NESTING = 64 * 1024;

    private Json() {}

    /** Parses a text that must consist of exactly one JSON object. */
    public static JsonObject object(String text) throws MalformedMessageException {
        try {
            JsonReader reader = new JsonReader(new StringReader(text));
            reader.setStrictness(Strictness.STRICT);
            reader.setNestingLimit(MAX_NESTING);
            JsonElement root = JsonParser.parseReader(reader);
            if (!root.isJsonObject()) {
                throw new MalformedMessageException("not an object");
            }
            if (reader.peek() != JsonToken.END_DOCUMENT) {
                throw new MalformedMessageException("text after the object");
            }
            return root.getAsJsonObject();
        } catch (JsonParseException
                | IOException
                | IllegalStateException
                | NumberFormatException
                | StackOverflowError e) {
            throw new MalformedMessageException("not JSON");
        }
    }

    private static JsonElement findNonNull(JsonObject json, String field) {
        JsonElement element = json.get(field);
        return element == null || element.isJsonNull() ? null : element;
    }

    /** Returns whether a field is present and not null. */
    public static boolean has(JsonObject json, String field) {
        return findNonNull(json, field) != null;
    }

    private static JsonPrimitive primitive(JsonObject json, String field) throws MalformedMessageException {
        JsonElement element = findNonNull(json, field);
        if (element == null) {
            throw new MalformedMessageException(field + " is missing");
        }
        if (!element.isJsonPrimitive()) {
            throw new MalformedMessageException(field + " is not a plain value");
        }
        return element.getAsJsonPrimitive();
    }

    /** Returns a required string. */
    public static String text(JsonObject json, String field) throws MalformedMessageException {
        JsonPrimitive value = primitive(json, field);
        if (!value.isString()) {
            throw new MalformedMessageException(field + " is not text");
        }
        return value.getAsString();
    }

    /** Returns a string, or {@code defaultValue} if it is absent or null. */
    public static String textOr(JsonObject json, String field, String defaultValue) throws MalformedMessageException {
        return has(json, field) ? text(json, field) : defaultValue;
    }

    /** Returns a boolean, or {@code defaultValue} if it is absent or null. */
    public static boolean flagOr(JsonObject json, String field, boolean defaultValue) throws MalformedMessageException {
        if (!has(json, field)) {
            return defaultValue;
        }
        JsonPrimitive value = primitive(json, field);
        if (!value.isBoolean()) {
            throw new MalformedMessageException(field + " is not true or false");
        }
        return value.getAsBoolean();
    }

    /** Returns a required non-negative number. */
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

    /** Returns a non-negative number, or {@code defaultValue} if it is absent or null. */
    public static double amountOr(JsonObject json, String field, double defaultValue) throws MalformedMessageException {
        return has(json, field) ? amount(json, field) : defaultValue;
    }

    /** Returns a required number greater than 0. */
    public static double positive(JsonObject json, String field) throws MalformedMessageException {
        double value = amount(json, field);
        if (value <= 0) {
            throw new MalformedMessageException(field + " must be more than 0");
        }
        return value;
    }

    /** Returns a required duration, given as a number of seconds. */
    public static Duration seconds(JsonObject json, String field) throws MalformedMessageException {
        return Duration.ofNanos((long) (amount(json, field) * 1e9));
    }

    /** Returns a required non-negative integer. */
    public static long count(JsonObject json, String field) throws MalformedMessageException {
        JsonPrimitive value = primitive(json, field);
        if (!value.isNumber()) {
            throw new MalformedMessageException(field + " is not a number");
        }
        String digits = value.getAsString();
        if (isShortDigitString(digits)) {
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

    /**
     * Returns whether a number consists of a few digits only and can be parsed without {@link BigDecimal}. Nearly all
     * counts do, and thousands of them are parsed per second.
     */
    private static boolean isShortDigitString(String digits) {
        for (int i = 0; i < digits.length(); i++) {
            if (digits.charAt(i) < '0' || digits.charAt(i) > '9') {
                return false;
            }
        }
        return !digits.isEmpty() && digits.length() <= MAX_SHORT_DIGITS;
    }

    /** Returns a non-negative integer, or {@code defaultValue} if it is absent or null. */
    public static long countOr(JsonObject json, String field, long defaultValue) throws MalformedMessageException {
        return has(json, field) ? count(json, field) : defaultValue;
    }

    /** Returns a required object. */
    public static JsonObject child(JsonObject json, String field) throws MalformedMessageException {
        JsonElement element = findNonNull(json, field);
        if (element == null || !element.isJsonObject()) {
            throw new MalformedMessageException(field + " is not an object");
        }
        return element.getAsJsonObject();
    }

    /** Returns an array; an empty one if it is absent or null. */
    public static JsonArray array(JsonObject json, String field) throws MalformedMessageException {
        JsonElement element = findNonNull(json, field);
        if (element == null) {
            return new JsonArray();
        }
        if (!element.isJsonArray()) {
            throw new MalformedMessageException(field + " is not an array");
        }
        return element.getAsJsonArray();
    }

    /** Returns an array of objects; an empty one if it is absent or null. */
    public static List<JsonObject> objects(JsonObject json, String field) throws MalformedMessageException {
        List<JsonObject> result = new ArrayList<>();
        for (JsonElement e : array(json, field)) {
            if (!e.isJsonObject()) {
                throw new MalformedMessageException(field + " holds something that is not an object");
            }
            result.add(e.getAsJsonObject());
        }
        return result;
    }

    /** Returns an array of strings; an empty one if it is absent or null. */
    public static List<String> texts(JsonObject json, String field) throws MalformedMessageException {
        List<String> result = new ArrayList<>();
        for (JsonElement e : array(json, field)) {
            if (!e.isJsonPrimitive() || !e.getAsJsonPrimitive().isString()) {
                throw new MalformedMessageException(field + " holds something that is not text");
            }
            result.add(e.getAsString());
        }
        return result;
    }
}
