package org.havenford.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * A digest of all messages that the controllers of one {@link ClusterSimulator} send, in order and with their simulated
 * time: requests, answers to requests, and events and data of peer connections. Two versions of the controllers with the
 * same digest behave identically in that run. The expected digests are stored in src/test/resources/digests; see the
 * README.md there.
 */
final class BehaviourDigest {
    private static final Path DIRECTORY = Path.of("src/test/resources/digests");
    private static final Path FILE = DIRECTORY.resolve("behaviour.txt");
    /** Whether the stored digests of the executed runs are updated instead of compared. */
    private static final boolean UPDATES_DIGESTS = "write".equals(System.getProperty("havenford.digests"));
    /** The directory to which each run writes its messages as text, for comparison line by line; null for none. */
    private static final String MESSAGES_DIRECTORY = System.getProperty("havenford.digests.messages");

    private static final int HEX_DIGITS = 16;

    private final MessageDigest digest;
    private final StringBuilder messageText = MESSAGES_DIRECTORY == null ? null : new StringBuilder();

    BehaviourDigest() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Adds a request sent by a controller. */
    void request(Instant now, String node, String address, String method, String path, String body) {
        add(now, "request", node, address, method, path, body);
    }

    /** Adds the answer of a controller to a request. */
    void answer(Instant now, String node, String method, String path, int status, String body) {
        add(now, "answer", node, method, path, Integer.toString(status), body);
    }

    /** Adds an event of a peer connection: a controller connects, sends or closes. */
    void peer(Instant now, String node, String other, String event, byte[] bytes) {
        add(now, "peer", node, other, event, HexFormat.of().formatHex(bytes));
    }

    /** Adds a message, each part prefixed with its length, so that different messages never give the same input. */
    private void add(Instant now, String... parts) {
        long nanos = Duration.between(Instant.EPOCH, now).toNanos();
        digest.update(ByteBuffer.allocate(Long.BYTES).putLong(nanos).flip());
        for (String part : parts) {
            byte[] bytes = part == null ? new byte[0] : part.getBytes(StandardCharsets.UTF_8);
            int length = part == null ? -1 : bytes.length;
            digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(length).flip());
            digest.update(bytes);
        }
        if (messageText != null) {
            messageText
                    .append(nanos)
                    .append(' ')
                    .append(String.join(" ", parts))
                    .append('\n');
        }
    }

    /** Completes the digest and asserts that it equals the one stored under a name; fails if none is stored. */
    void assertMatchesStored(String name) {
        String actual = HexFormat.of().formatHex(digest.digest()).substring(0, HEX_DIGITS);
        try {
            if (messageText != null) {
                Path directory = Files.createDirectories(Path.of(MESSAGES_DIRECTORY));
                Files.writeString(directory.resolve(name.replace('/', '-') + ".txt"), messageText);
            }
            Map<String, String> digests = read();
            if (UPDATES_DIGESTS) {
                digests.put(name, actual);
                write(digests);
            }
            assertEquals(
                    digests.get(name),
                    actual,
                    () -> "The digest of the controllers' messages in " + name + " differs from the one in " + FILE
                            + ".");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, String> read() throws IOException {
        Map<String, String> digests = new TreeMap<>();
        if (Files.exists(FILE)) {
            for (String line : Files.readAllLines(FILE)) {
                String[] words = line.split(" ");
                digests.put(words[0], words[1]);
            }
        }
        return digests;
    }

    private static void write(Map<String, String> digests) throws IOException {
        Files.createDirectories(DIRECTORY);
        StringBuilder text = new StringBuilder();
        digests.forEach(
                (name, value) -> text.append(name).append(' ').append(value).append('\n'));
        Files.writeString(FILE, text);
    }
}
