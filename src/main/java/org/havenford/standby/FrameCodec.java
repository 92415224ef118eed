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
 * Binary encoding of messages between controllers. A frame is a header of magic number, version, type, payload length and
 * sequence number, followed by the payload. All numbers are big-endian; a text is its length in two bytes, then its UTF-8
 * bytes.
 */
final class FrameCodec {
    static final short MAGIC = 0x4846;
    static final byte VERSION = 1;
    static final int HEADER_BYTES = 2 + 1 + 1 + 4 + 8;
    static final int MAX_PAYLOAD_BYTES = 64 * 1024;
    /** Limit of contacts or texts in one frame. Each takes less than 512 bytes, so a payload stays below its limit. */
    static final int MAX_ITEMS = 100;

    /** Limit of the UTF-8 bytes of a text; equal to the maximum length of a key in the store. */
    static final int MAX_TEXT_BYTES = 200;

    private static final int MAX_UTF8_BYTES_PER_CHAR = 3;
    private static final int TEXTS_PER_CONTACT = 2;
    private static final int NUMBER_BYTES_PER_CONTACT = 24;
    /** Upper bound for the numbers and flags of any message, without those of its contacts. */
    private static final int MAX_NUMBER_BYTES = 64;

    /** Message types; the ordinal is the type number in the header, so the order must not change. */
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

    /** A message and its sequence number in the connection. */
    record Frame(long sequence, PeerMessage message) {}

    private FrameCodec() {}

    /** Returns whether a contact can be encoded. Agents report their endpoints, which may be longer than a text may be. */
    static boolean isEncodable(AgentContact contact) {
        return contact.endpoint().length() * MAX_UTF8_BYTES_PER_CHAR <= MAX_TEXT_BYTES;
    }

    /** Encodes a message as a frame that is ready to be sent. */
    static ByteBuffer encode(PeerMessage message, long sequence) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + maxPayloadLength(message));
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

    /** Returns an upper bound for the payload length of a message. */
    private static int maxPayloadLength(PeerMessage message) {
        int texts = 1;
        if (message instanceof AgentContacts agentContacts) {
            texts = agentContacts.contacts().size() * TEXTS_PER_CONTACT;
        } else if (message instanceof MachinesGone machinesGone) {
            texts = machinesGone.machines().size();
        } else if (message instanceof Intent intent) {
            texts = intent.keys().size();
        }
        return MAX_NUMBER_BYTES + texts * (2 + MAX_TEXT_BYTES + NUMBER_BYTES_PER_CONTACT);
    }

    private static Type putPayload(PeerMessage message, ByteBuffer out) {
        if (message instanceof Hello hello) {
            putText(out, hello.node());
            out.putLong(hello.incarnation());
            return Type.HELLO;
        }
        if (message instanceof AgentContacts agentContacts) {
            out.putShort((short) agentContacts.contacts().size());
            agentContacts.contacts().forEach(contact -> putContact(out, contact));
            return Type.MACHINES;
        }
        if (message instanceof MachinesGone machinesGone) {
            putTexts(out, machinesGone.machines());
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

    /** Returns the length of the frame that begins at the buffer's position, or -1 while its header is incomplete. */
    static int frameLength(ByteBuffer in) throws MalformedFrameException {
        if (in.remaining() < HEADER_BYTES) {
            return -1;
        }
        int start = in.position();
        if (in.getShort(start) != MAGIC) {
            throw new MalformedFrameException(String.format(
                    "no frame header: magic number is 0x%04x, expected 0x%04x", in.getShort(start), MAGIC));
        }
        if (in.get(start + 2) != VERSION) {
            throw new MalformedFrameException("frame has version " + in.get(start + 2) + ", expected " + VERSION);
        }
        int payloadLength = in.getInt(start + 4);
        if (payloadLength < 0 || payloadLength > MAX_PAYLOAD_BYTES) {
            throw new MalformedFrameException(
                    "payload length " + payloadLength + " is not between 0 and " + MAX_PAYLOAD_BYTES);
        }
        return HEADER_BYTES + payloadLength;
    }

    /** Decodes a buffer that contains exactly one frame. */
    static Frame decode(ByteBuffer frame) throws MalformedFrameException {
        int type = frame.get(frame.position() + 3);
        if (type < 0 || type >= TYPES.length) {
            throw new MalformedFrameException("message type " + type + " is not between 0 and " + (TYPES.length - 1));
        }
        long sequence = frame.getLong(frame.position() + 8);
        frame.position(frame.position() + HEADER_BYTES);
        try {
            PeerMessage message = readPayload(TYPES[type], frame);
            if (frame.hasRemaining()) {
                throw new MalformedFrameException(
                        "payload of " + TYPES[type] + " has " + frame.remaining() + " bytes too many");
            }
            return new Frame(sequence, message);
        } catch (BufferUnderflowException e) {
            throw new MalformedFrameException("payload of " + TYPES[type] + " is too short");
        }
    }

    private static PeerMessage readPayload(Type type, ByteBuffer in) throws MalformedFrameException {
        return switch (type) {
            case HELLO -> new Hello(readText(in), in.getLong());
            case HEARTBEAT -> new Heartbeat();
            case SNAPSHOT_BEGIN -> new SnapshotBegin();
            case MACHINES -> new AgentContacts(readContacts(in));
            case MACHINES_GONE -> new MachinesGone(readTexts(in));
            case INTENT -> new Intent(in.getLong(), readTexts(in));
            case OUTCOME -> new Outcome(in.getLong(), readFlag(in), in.getLong());
            case REACH_QUESTION -> new ReachabilityQuestion(readText(in), in.getLong());
            case REACH_ANSWER -> new ReachabilityAnswer(readText(in), in.getLong(), readFlag(in));
        };
    }

    private static List<AgentContact> readContacts(ByteBuffer in) throws MalformedFrameException {
        int count = readCount(in);
        List<AgentContact> contacts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            contacts.add(new AgentContact(readText(in), readText(in), in.getLong(), in.getLong(), in.getLong()));
        }
        return contacts;
    }

    private static List<String> readTexts(ByteBuffer in) throws MalformedFrameException {
        int count = readCount(in);
        List<String> texts = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            texts.add(readText(in));
        }
        return texts;
    }

    private static int readCount(ByteBuffer in) throws MalformedFrameException {
        int count = in.getShort();
        if (count < 0 || count > MAX_ITEMS) {
            throw new MalformedFrameException("item count " + count + " is not between 0 and " + MAX_ITEMS);
        }
        return count;
    }

    private static boolean readFlag(ByteBuffer in) throws MalformedFrameException {
        byte value = in.get();
        if (value != 0 && value != 1) {
            throw new MalformedFrameException("flag is " + value + ", expected 0 or 1");
        }
        return value == 1;
    }

    private static String readText(ByteBuffer in) throws MalformedFrameException {
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
