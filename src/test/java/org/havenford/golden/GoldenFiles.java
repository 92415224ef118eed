package org.havenford.golden;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads golden files, or writes them when the property {@code havenford.golden} is {@code write}. A file is one JSON object
 * with an entry a line, so that a change shows as one line.
 */
final class GoldenFiles {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private GoldenFiles() {}

    /** Whether this run writes the files instead of comparing with them. */
    static boolean writing() {
        return "write".equals(System.getProperty("havenford.golden"));
    }

    static Map<String, JsonElement> read(String file) throws IOException {
        JsonObject all = JsonParser.parseString(Files.readString(DIRECTORY.resolve(file)))
                .getAsJsonObject();
        return new LinkedHashMap<>(all.asMap());
    }

    static void write(String file, Map<String, JsonElement> entries) throws IOException {
        List<String> lines = new ArrayList<>();
        entries.forEach((name, value) -> lines.add("\"" + name + "\": " + value));
        Files.createDirectories(DIRECTORY);
        Files.writeString(DIRECTORY.resolve(file), "{\n" + String.join(",\n", lines) + "\n}\n");
    }

    /** A value as it is read from its text: numbers then compare by their value. */
    static JsonElement reread(JsonElement value) {
        return JsonParser.parseString(value.toString());
    }
}
