package org.havenford.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.standby.FrameCodec.Frame;
import org.junit.jupiter.api.Test;

/**
 * Checks the binary encoding of frames against the golden file. {@code mvn test -Dtest=GoldenFramesTest
 * -Dhavenford.golden=write} rewrites the file.
 */
class GoldenFramesTest {
    private static final Path FILE = Path.of("src/test/resources/golden/peer-frames.txt");

    private static List<PeerMessage> messages() {
        return List.of(
                new PeerMessage.Hello("node-0", 7),
                new PeerMessage.Heartbeat(),
                new PeerMessage.SnapshotBegin(),
                new PeerMessage.AgentContacts(List.of(
                        new AgentContact("host-000001", "10.1.0.1:9000", 1, 88, 17_179_869_184L),
                        new AgentContact("host-000002", "10.1.0.2:9000", 2, 0, 0))),
                new PeerMessage.MachinesGone(List.of("host-000001", "host-000002")),
                new PeerMessage.Intent(5, List.of("live/job/j-1", "live/tasks/j-1/0")),
                new PeerMessage.Outcome(5, true, 432),
                new PeerMessage.Outcome(6, false, 0),
                new PeerMessage.ReachabilityQuestion("node-1", 5),
                new PeerMessage.ReachabilityAnswer("node-1", 5, true),
                new PeerMessage.ReachabilityAnswer("node-1", 5, false));
    }

    private static String hexFrame(PeerMessage message, long sequence) {
        ByteBuffer frame = FrameCodec.encode(message, sequence);
        byte[] bytes = new byte[frame.remaining()];
        frame.get(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    @Test
    void framesMatchTheGoldenFile() throws Exception {
        List<String> lines = new ArrayList<>();
        for (PeerMessage message : messages()) {
            lines.add(hexFrame(message, lines.size()));
        }
        if ("write".equals(System.getProperty("havenford.golden"))) {
            Files.write(FILE, lines);
        }
        List<String> golden = Files.readAllLines(FILE);
        assertEquals(golden, lines);
        for (int i = 0; i < golden.size(); i++) {
            Frame read = FrameCodec.decode(ByteBuffer.wrap(HexFormat.of().parseHex(golden.get(i))));
            assertEquals(new Frame(i, messages().get(i)), read);
        }
    }
}
