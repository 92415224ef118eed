package org.havenford.standby;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.havenford.standby.FrameCodec.Frame;

/** Assembles frames from the bytes of a connection. Its buffer stays below twice the size of the largest frame. */
final class FrameDecoder {
    private static final int INITIAL_BYTES = 4 * 1024;

    /** Bytes of an incomplete frame, from 0 to the position. */
    private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES);

    /** Consumes bytes and returns the frames that they complete. */
    List<Frame> feed(ByteBuffer bytes) throws MalformedFrameException {
        List<Frame> frames = new ArrayList<>();
        while (bytes.hasRemaining()) {
            fill(bytes);
            Frame frame = decodeIfComplete();
            if (frame != null) {
                frames.add(frame);
            }
        }
        return frames;
    }

    /** Copies as many bytes as the current frame, or its header, still needs. */
    private void fill(ByteBuffer bytes) throws MalformedFrameException {
        int required = requiredLength();
        if (required > buffer.capacity()) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(required, 2 * buffer.capacity()));
            buffer.flip();
            larger.put(buffer);
            buffer = larger;
        }
        int copied = Math.min(bytes.remaining(), required - buffer.position());
        ByteBuffer part = bytes.slice(bytes.position(), copied);
        buffer.put(part);
        bytes.position(bytes.position() + copied);
    }

    /** Returns the length of the current frame, or of the header while that is incomplete. */
    private int requiredLength() throws MalformedFrameException {
        ByteBuffer readable = buffer.duplicate().flip();
        int length = FrameCodec.frameLength(readable);
        return length < 0 ? FrameCodec.HEADER_BYTES : length;
    }

    private Frame decodeIfComplete() throws MalformedFrameException {
        if (buffer.position() < FrameCodec.HEADER_BYTES || buffer.position() < requiredLength()) {
            return null;
        }
        buffer.flip();
        Frame frame = FrameCodec.decode(buffer);
        buffer.clear();
        return frame;
    }
}
