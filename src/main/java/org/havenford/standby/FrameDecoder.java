package org.havenford.standby;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.havenford.standby.FrameCodec.Frame;

/** Puts frames together from the bytes of a connection. What it holds is bounded by the largest frame. */
final class FrameDecoder {
    private static final int FIRST_BYTES = 4 * 1024;

    /** Bytes of a frame that has not come whole, from 0 to the position. */
    private ByteBuffer held = ByteBuffer.allocate(FIRST_BYTES);

    /** Takes bytes, and returns the frames that are complete. */
    List<Frame> feed(ByteBuffer bytes) throws MalformedFrameException {
        List<Frame> frames = new ArrayList<>();
        while (bytes.hasRemaining()) {
            take(bytes);
            Frame frame = completeFrame();
            if (frame != null) {
                frames.add(frame);
            }
        }
        return frames;
    }

    /** Takes as many bytes as the frame that has begun still needs. */
    private void take(ByteBuffer bytes) throws MalformedFrameException {
        int wanted = wanted();
        if (wanted > held.capacity()) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(wanted, 2 * held.capacity()));
            held.flip();
            larger.put(held);
            held = larger;
        }
        int taken = Math.min(bytes.remaining(), wanted - held.position());
        ByteBuffer part = bytes.slice(bytes.position(), taken);
        held.put(part);
        bytes.position(bytes.position() + taken);
    }

    /** Length of the frame that has begun, or of the header as long as that is not complete. */
    private int wanted() throws MalformedFrameException {
        ByteBuffer view = held.duplicate().flip();
        int length = FrameCodec.frameLength(view);
        return length < 0 ? FrameCodec.HEADER_BYTES : length;
    }

    private Frame completeFrame() throws MalformedFrameException {
        if (held.position() < FrameCodec.HEADER_BYTES || held.position() < wanted()) {
            return null;
        }
        held.flip();
        Frame frame = FrameCodec.decode(held);
        held.clear();
        return frame;
    }
}
