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
 * Reads and writes golden files. A file is a JSON object with one entry per line, so that a diff shows each changed entry
 * as one line.
 */
final class GoldenFiles {
    private static final Path DIRECTORY = Path.of("src/test/resources/golden");

    private GoldenFiles() {}

    /** Returns whether this run regenerates the files: whether the property {@code havenford.golden} is {@code write}. */
    static boolean isWriteMode() {
        return "write".equals(System.getProperty("havenford.golden"));
    }

    static Map<String, JsonElement> read(String file) throws IOException {
        JsonObject root = JsonParser.parseString(Files.readString(DIRECTORY.resolve(file)))
                .getAsJsonObject();
        return new LinkedHashMap<>(root.asMap());
    }

    static void write(String file, Map<String, JsonElement> entries) throws IOException {
        List<String> lines = new ArrayList<>();
        entries.forEach((name, value) -> lines.add("\"" + name + "\": " + value));
        Files.createDirectories(DIRECTORY);
        Files.writeString(DIRECTORY.resolve(file), "{\n" + String.join(",\n", lines) + "\n}\n");
    }

    /** Returns a value as parsed from its text, so that numbers compare by value rather than by Java type. */
    static JsonElement reparse(JsonElement value) {
        return JsonParser.parseString(value.toString());
    }
}
