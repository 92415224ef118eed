package org.havenford.standby;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.havenford.coordination.agents.AgentContact;
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
 * Binary form of messages between controllers: a header of magic, version, type, payload length and sequence, then the
 * payload. All numbers are big-endian; a text is its length in two bytes and UTF-8.
 */
final class FrameCodec {
    static final short MAGIC = 0x4846;
    static final byte VERSION = 1;
    static final int HEADER_BYTES = 2 + 1 + 1 + 4 + 8;
    static final int MAX_PAYLOAD_BYTES = 64 * 1024;
    /** Notes or names in one frame: each takes less than 512 bytes. */
    static final int MAX_ITEMS = 100;

    /** As long as a key of the state service may be. */
    static final int MAX_TEXT_BYTES = 200;

    private static final int MAX_BYTES_OF_CHAR = 3;
    private static final int TEXTS_OF_CONTACT = 2;
    private static final int NUMBERS_OF_CONTACT_BYTES = 24;
    /** Numbers and flags of any message besides its texts. */
    private static final int NUMBERS_BYTES = 64;

    /** Kinds of messages in the order of their numbers on the wire. */
    private enum Type {
        HELLO,
        HEARTBEAT,
        SNAPSHOT_BEGIN,
        MACHINES,
        MACHINES_GONE,
        INTENT,
        OUTCOME,
        REACH_QUESTION,
        REACH_ANSWER
    }

    private static final Type[] TYPES = Type.values();

    /** A message with its place in the stream. */
    record Frame(long sequence, PeerMessage message) {}

    private FrameCodec() {}

    /** Whether a note can be sent: a worker may name any endpoint. */
    static boolean fits(AgentContact contact) {
        return contact.endpoint().length() * MAX_BYTES_OF_CHAR <= MAX_TEXT_BYTES;
    }

    /** The frame of a message, ready to be sent. */
    static ByteBuffer encode(PeerMessage message, long sequence) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payloadBound(message));
        frame.position(HEADER_BYTES);
        Type type = putPayload(message, frame);
        frame.flip();
        frame.putShort(0, MAGIC);
        frame.put(2, VERSION);
        frame.put(3, (byte) type.ordinal());
        frame.putInt(4, frame.limit() - HEADER_BYTES);
        frame.putLong(8, sequence);
        return frame;
    }

    /** No payload of the message is longer. */
    private static int payloadBound(PeerMessage message) {
        int texts = 1;
        if (message instanceof AgentContacts machines) {
            texts = machines.contacts().size() * TEXTS_OF_CONTACT;
        } else if (message instanceof MachinesGone gone) {
            texts = gone.machines().size();
        } else if (message instanceof Intent intent) {
            texts = intent.keys().size();
        }
        return NUMBERS_BYTES + texts * (2 + MAX_TEXT_BYTES + NUMBERS_OF_CONTACT_BYTES);
    }

    private static Type putPayload(PeerMessage message, ByteBuffer out) {
        if (message instanceof Hello hello) {
            putText(out, hello.node());
            out.putLong(hello.incarnation());
            return Type.HELLO;
        }
        if (message instanceof AgentContacts machines) {
            out.putShort((short) machines.contacts().size());
            machines.contacts().forEach(contact -> putContact(out, contact));
            return Type.MACHINES;
        }
        if (message instanceof MachinesGone gone) {
            putTexts(out, gone.machines());
            return Type.MACHINES_GONE;
        }
        if (message instanceof Intent intent) {
            out.putLong(intent.number());
            putTexts(out, intent.keys());
            return Type.INTENT;
        }
        if (message instanceof Outcome outcome) {
            out.putLong(outcome.number());
            putFlag(out, outcome.known());
            out.putLong(outcome.revision());
            return Type.OUTCOME;
        }
        if (message instanceof ReachabilityQuestion question) {
            putText(out, question.node());
            out.putLong(question.incarnation());
            return Type.REACH_QUESTION;
        }
        if (message instanceof ReachabilityAnswer answer) {
            putText(out, answer.node());
            out.putLong(answer.incarnation());
            putFlag(out, answer.reachable());
            return Type.REACH_ANSWER;
        }
        return message instanceof SnapshotBegin ? Type.SNAPSHOT_BEGIN : Type.HEARTBEAT;
    }

    private static void putFlag(ByteBuffer out, boolean flag) {
        out.put((byte) (flag ? 1 : 0));
    }

    private static void putContact(ByteBuffer out, AgentContact contact) {
        putText(out, contact.machine());
        putText(out, contact.endpoint());
        out.putLong(contact.incarnation());
        out.putLong(contact.heartbeatSequence());
        out.putLong(contact.fencingToken());
    }

    private static void putTexts(ByteBuffer out, List<String> texts) {
        out.putShort((short) texts.size());
        texts.forEach(text -> putText(out, text));
    }

    private static void putText(ByteBuffer out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_TEXT_BYTES) {
            throw new IllegalArgumentException(
                    "text has " + bytes.length + " bytes, allowed are at most " + MAX_TEXT_BYTES);
        }
        out.putShort((short) bytes.length);
        out.put(bytes);
    }

    /** Length of the frame that begins at the buffer's position, or -1 if its header is not complete yet. */
    static int frameLength(ByteBuffer in) throws MalformedFrameException {
        if (in.remaining() < HEADER_BYTES) {
            return -1;
        }
        int at = in.position();
        if (in.getShort(at) != MAGIC) {
            throw new MalformedFrameException(
                    String.format("no frame header: magic number is 0x%04x, expected 0x%04x", in.getShort(at), MAGIC));
        }
        if (in.get(at + 2) != VERSION) {
            throw new MalformedFrameException("frame has version " + in.get(at + 2) + ", expected " + VERSION);
        }
        int payload = in.getInt(at + 4);
        if (payload < 0 || payload > MAX_PAYLOAD_BYTES) {
            throw new MalformedFrameException(
                    "payload length " + payload + " is not between 0 and " + MAX_PAYLOAD_BYTES);
        }
        return HEADER_BYTES + payload;
    }

    /** Reads one whole frame, no more and no less. */
    static Frame decode(ByteBuffer frame) throws MalformedFrameException {
        int type = frame.get(frame.position() + 3);
        if (type < 0 || type >= TYPES.length) {
            throw new MalformedFrameException("message type " + type + " is not between 0 and " + (TYPES.length - 1));
        }
        long sequence = frame.getLong(frame.position() + 8);
        frame.position(frame.position() + HEADER_BYTES);
        try {
            PeerMessage message = payload(TYPES[type], frame);
            if (frame.hasRemaining()) {
                throw new MalformedFrameException(
                        "payload of " + TYPES[type] + " has " + frame.remaining() + " bytes too many");
            }
            return new Frame(sequence, message);
        } catch (BufferUnderflowException e) {
            throw new MalformedFrameException("payload of " + TYPES[type] + " is too short");
        }
    }

    private static PeerMessage payload(Type type, ByteBuffer in) throws MalformedFrameException {
        return switch (type) {
            case HELLO -> new Hello(text(in), in.getLong());
            case HEARTBEAT -> new Heartbeat();
            case SNAPSHOT_BEGIN -> new SnapshotBegin();
            case MACHINES -> new AgentContacts(contacts(in));
            case MACHINES_GONE -> new MachinesGone(texts(in));
            case INTENT -> new Intent(in.getLong(), texts(in));
            case OUTCOME -> new Outcome(in.getLong(), flag(in), in.getLong());
            case REACH_QUESTION -> new ReachabilityQuestion(text(in), in.getLong());
            case REACH_ANSWER -> new ReachabilityAnswer(text(in), in.getLong(), flag(in));
        };
    }

    private static List<AgentContact> contacts(ByteBuffer in) throws MalformedFrameException {
        int count = count(in);
        List<AgentContact> notes = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            notes.add(new AgentContact(text(in), text(in), in.getLong(), in.getLong(), in.getLong()));
        }
        return notes;
    }

    private static List<String> texts(ByteBuffer in) throws MalformedFrameException {
        int count = count(in);
        List<String> texts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            texts.add(text(in));
        }
        return texts;
    }

    private static int count(ByteBuffer in) throws MalformedFrameException {
        int count = in.getShort();
        if (count < 0 || count > MAX_ITEMS) {
            throw new MalformedFrameException("item count " + count + " is not between 0 and " + MAX_ITEMS);
        }
        return count;
    }

    private static boolean flag(ByteBuffer in) throws MalformedFrameException {
        byte value = in.get();
        if (value != 0 && value != 1) {
            throw new MalformedFrameException("flag is " + value + ", expected 0 or 1");
        }
        return value == 1;
    }

    private static String text(ByteBuffer in) throws MalformedFrameException {
        int length = in.getShort();
        if (length < 0 || length > MAX_TEXT_BYTES) {
            throw new MalformedFrameException("text length " + length + " is not between 0 and " + MAX_TEXT_BYTES);
        }
        if (length > in.remaining()) {
            throw new BufferUnderflowException();
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
