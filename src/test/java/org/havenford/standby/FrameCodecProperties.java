package org.havenford.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.havenford.coordination.agents.AgentContact;
import org.havenford.standby.FrameCodec.Frame;
import org.havenford.standby.PeerMessage.AgentContacts;
import org.havenford.standby.PeerMessage.Heartbeat;
import org.havenford.standby.PeerMessage.Hello;
import org.havenford.standby.PeerMessage.Intent;
import org.havenford.standby.PeerMessage.MachinesGone;
import org.havenford.standby.PeerMessage.Outcome;
import org.havenford.standby.PeerMessage.ReachabilityAnswer;
import org.havenford.standby.PeerMessage.ReachabilityQuestion;
import org.havenford.standby.PeerMessage.SnapshotBegin;

/**
 * Checks that messages are decoded as they were encoded, however their bytes are split, and that invalid bytes lead
 * only to a {@link MalformedFrameException}, before any memory is allocated for an invalid length.
 */
class FrameCodecProperties {
    private static final String SEED = "4711";

    @Property(seed = SEED)
    void messagesAreDecodedFromAnySplitOfTheStream(
            @ForAll("messages") List<PeerMessage> messages, @ForAll("partLengths") List<Integer> partLengths)
            throws MalformedFrameException {
        List<Frame> sent = new ArrayList<>();
        ByteBuffer stream = ByteBuffer.allocate(4 * 1024 * 1024);
        for (PeerMessage message : messages) {
            stream.put(FrameCodec.encode(message, sent.size()));
            sent.add(new Frame(sent.size(), message));
        }
        stream.flip();
        FrameDecoder decoder = new FrameDecoder();
        List<Frame> received = new ArrayList<>();
        for (int i = 0; stream.hasRemaining(); i++) {
            int length = Math.min(stream.remaining(), partLengths.get(i % partLengths.size()));
            received.addAll(decoder.feed(stream.slice(stream.position(), length)));
            stream.position(stream.position() + length);
        }
        assertEquals(sent, received);
    }

    @Property(seed = SEED)
    void arbitraryBytesAreRejectedOrIncomplete(@ForAll byte[] bytes) {
        feedIgnoringMalformedFrames(ByteBuffer.wrap(bytes));
    }

    @Property(seed = SEED)
    void corruptedFrameCausesOnlyMalformedFrameException(
            @ForAll("message") PeerMessage message, @ForAll int position, @ForAll byte value) {
        ByteBuffer frame = FrameCodec.encode(message, 1);
        frame.put(Math.floorMod(position, frame.limit()), value);
        feedIgnoringMalformedFrames(frame);
    }

    /** Feeds bytes to a decoder; any exception other than {@link MalformedFrameException} fails the test. */
    private static void feedIgnoringMalformedFrames(ByteBuffer bytes) {
        try {
            new FrameDecoder().feed(bytes);
        } catch (MalformedFrameException expected) {
            assertTrue(expected.getMessage().length() > 3);
        }
    }

    @Example
    void errorNamesTheInvalidHeaderField() {
        assertRejected(frame -> frame.putInt(4, Integer.MAX_VALUE), "payload");
        assertRejected(frame -> frame.putInt(4, -1), "payload");
        assertRejected(frame -> frame.put(2, (byte) 9), "version 9");
        assertRejected(frame -> frame.put(3, (byte) 99), "type 99");
        assertRejected(frame -> frame.putShort(0, (short) 0x4745), "no frame");
        assertRejected(frame -> frame.putInt(4, 3), "too short");
        assertRejected(frame -> frame.putShort(FrameCodec.HEADER_BYTES, (short) 5000), "text length 5000");
    }

    private static void assertRejected(java.util.function.Consumer<ByteBuffer> corruption, String reason) {
        ByteBuffer frame = FrameCodec.encode(new Hello("node-0", 7), 0);
        corruption.accept(frame);
        MalformedFrameException rejected =
                assertThrows(MalformedFrameException.class, () -> new FrameDecoder().feed(frame));
        assertTrue(rejected.getMessage().contains(reason), rejected.getMessage());
    }

    @Provide
    Arbitrary<List<Integer>> partLengths() {
        return Arbitraries.integers().between(1, 300).list().ofMinSize(1).ofMaxSize(20);
    }

    @Provide
    Arbitrary<List<PeerMessage>> messages() {
        return message().list().ofMaxSize(30);
    }

    @Provide
    Arbitrary<PeerMessage> message() {
        Arbitrary<String> text =
                Arbitraries.strings().withChars("abcxyz-/0129äß€").ofMaxLength(FrameCodec.MAX_TEXT_BYTES / 3);
        Arbitrary<Long> number = Arbitraries.longs();
        Arbitrary<Boolean> flag = Arbitraries.of(true, false);
        Arbitrary<List<String>> texts = text.list().ofMaxSize(FrameCodec.MAX_ITEMS);
        Arbitrary<AgentContact> contact =
                Combinators.combine(text, text, number, number, number).as(AgentContact::new);
        return Arbitraries.oneOf(
                Combinators.combine(text, number).as(Hello::new),
                Arbitraries.of(new Heartbeat(), new SnapshotBegin()),
                contact.list().ofMaxSize(FrameCodec.MAX_ITEMS).map(AgentContacts::new),
                texts.map(MachinesGone::new),
                Combinators.combine(number, texts).as(Intent::new),
                Combinators.combine(number, flag, number).as(Outcome::new),
                Combinators.combine(text, number).as(ReachabilityQuestion::new),
                Combinators.combine(text, number, flag).as(ReachabilityAnswer::new));
    }
}
