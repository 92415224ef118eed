package org.havenford.coordination;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.StateStore;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;
import org.havenford.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jobs that await others. What has become of those is read from their final states, which are in the store for good and in
 * no copy; while a header stands the job is not over. What has once been read never changes, so it is remembered.
 */
final class Pipelines {
    private static final Logger LOG = LoggerFactory.getLogger(Pipelines.class);

    enum Fate {
        OPEN,
        DONE,
        WITHDRAWN
    }

    /** Priority and due time that a job has by itself or by those that need it. */
    record Inherited(JobSpec.Priority priority, Instant due) {
        static Inherited own(Job j) {
            return new Inherited(j.spec().priority(), j.due());
        }

        Inherited with(JobSpec.Priority other, Instant otherDue) {
            JobSpec.Priority p = other.compareTo(priority) < 0 ? other : priority;
            Instant d = due == null || otherDue != null && otherDue.isBefore(due) ? otherDue : due;
            return new Inherited(p, d);
        }
    }

    /** Reads at a time, so that a wide pipeline does not crowd out other work. */
    private static final int MOST_READS = 8;
    /** A job that is in neither place is one whose header our copy has yet to show. */
    private static final Duration AGAIN = Duration.ofMillis(300);

    private final EventLoop loop;
    private final Ledger ledger;
    private final StateStore store;
    private final Runnable wake;
    private final Cache<String, Fate> fates =
            CacheBuilder.newBuilder().maximumSize(20_000).build();
    /** Jobs whose final state is being read, or was not there, and when to ask again. */
    private final Map<String, Instant> asked = new HashMap<>();

    private int reading;

    Pipelines(EventLoop loop, Ledger ledger, StateStore store, Runnable wake) {
        this.loop = loop;
        this.ledger = ledger;
        this.store = store;
        this.wake = wake;
    }

    void known(String id, Fate fate) {
        fates.put(id, fate);
    }

    /** What the jobs that a waiting one needs make of it: done only when each of them is finally done. */
    Fate fate(Job waiting) {
        Fate all = Fate.DONE;
        for (String id : waiting.spec().awaits()) {
            Fate one = fateOf(id);
            if (one == Fate.WITHDRAWN) {
                return one;
            }
            all = one == Fate.OPEN ? one : all;
        }
        return all;
    }

    private Fate fateOf(String id) {
        Job j = ledger.job(id);
        if (j != null) {
            // A cancelled header can only become a withdrawn job.
            return j.cancelled() ? Fate.WITHDRAWN : Fate.OPEN;
        }
        Fate known = fates.getIfPresent(id);
        if (known == null) {
            read(id);
        }
        return known == null ? Fate.OPEN : known;
    }

    private void read(String id) {
        Instant next = asked.get(id);
        if (reading >= MOST_READS || next != null && loop.now().isBefore(next)) {
            return;
        }
        reading++;
        asked.put(id, Instant.MAX);
        store.get(Keys.end(id), StateStore.Urgency.CLAIM, r -> {
            reading--;
            Fate fate = r.ok() ? parse(id, r) : null;
            if (fate != null) {
                asked.remove(id);
                known(id, fate);
                wake.run();
            } else {
                asked.put(id, loop.now().plus(AGAIN));
                loop.after(AGAIN, wake);
            }
        });
    }

    private static Fate parse(String id, StateStore.Result r) {
        try {
            return Json.text(Json.child(r.body(), "v"), "status").equals("done") ? Fate.DONE : Fate.WITHDRAWN;
        } catch (Json.BadMessage e) {
            LOG.error("the final state of {} can't be read: {}", id, e.getMessage());
            return null;
        }
    }

    /**
     * What unfinished jobs inherit from those that wait for them: the highest priority, and the time by which they must be
     * done so that what comes after them can be in time. A job names only jobs accepted before it, so the latest go first.
     */
    static Map<String, Inherited> inherited(Ledger ledger) {
        Map<String, Inherited> out = new HashMap<>();
        if (ledger.waiting().isEmpty()) {
            return out;
        }
        List<Job> waiting = new ArrayList<>();
        for (String id : ledger.waiting()) {
            Job j = ledger.job(id);
            if (!j.cancelled()) {
                waiting.add(j);
            }
        }
        waiting.sort(Comparator.comparing(Job::submitted).thenComparing(Job::id).reversed());
        for (Job later : waiting) {
            Inherited of = out.getOrDefault(later.id(), Inherited.own(later));
            Instant by = of.due() == null ? null : of.due().minus(later.spec().guess());
            for (String id : later.spec().awaits()) {
                Job before = ledger.job(id);
                if (before != null) {
                    out.put(id, out.getOrDefault(id, Inherited.own(before)).with(of.priority(), by));
                }
            }
        }
        return out;
    }
}
