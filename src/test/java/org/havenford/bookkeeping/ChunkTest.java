package org.havenford.bookkeeping;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ChunkTest {
    private static final Instant AT = Instant.ofEpochMilli(1_700_000_000_000L);

    /** The largest record that can come about must fit the smallest value limit that a deployment names. */
    @Test
    void aFullChunkStaysWithinTheValueLimit() {
        for (int limit : new int[] {8 * 1024, 16 * 1024}) {
            int size = Job.chunkSize(limit);
            Chunk c = new Chunk("j-1", 99_936, size);
            for (int i = 99_936; i < 99_936 + size; i++) {
                c.claim(i, "host-00000123456", 12345, AT, "workhorse-0123456789");
                c.release(i, true, true);
                c.claim(i, "host-00000123456", 12345, AT, "workhorse-0123456789");
            }
            for (int i = 0; i < size; i++) {
                c.fetches().add(99_999);
                c.runs().add(99_999);
            }
            int bytes = c.toJson().toString().getBytes(StandardCharsets.UTF_8).length;
            assertTrue(bytes <= limit, bytes + " of " + limit);
        }
    }

    @Test
    void whatIsWrittenIsRead() throws Exception {
        Chunk c = new Chunk("j-1", 64, 64);
        c.claim(70, "host-1", 3, AT, "node-1");
        c.claim(71, "host-2", 1, AT, "");
        c.finish(71, 1.5, 20.25);
        c.claim(72, "host-2", 1, AT, "");
        c.release(72, true, false);
        Chunk read = new Chunk("j-1", 64, 64).read(c.toJson());
        assertEquals(c.toJson(), read.toJson());
        assertEquals(1, read.doneCount());
        assertEquals(62, read.pendingCount());
        assertEquals("host-2", read.lateOn(72));
        assertNull(read.lateOn(70));
    }

    @Test
    void attemptsOnlyGrow() {
        Chunk c = new Chunk("j-1", 0, 2);
        assertEquals(1, c.claim(0, "host-1", 1, AT, "").attempt());
        c.release(0, false, false);
        assertEquals(2, c.claim(0, "host-1", 1, AT, "").attempt());
    }
}
