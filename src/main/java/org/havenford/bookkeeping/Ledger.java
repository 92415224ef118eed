package org.havenford.bookkeeping;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.objects.Object2ObjectOpenHashMap;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The mirrored keys in the terms of the field: jobs, tasks, machines, bookings. */
public final class Ledger implements Mirror.Listener {
    private static final Logger LOG = LoggerFactory.getLogger(Ledger.class);

    /** An intent to rent, stored before the cloud is asked. */
    public record Booking(String name, String type, String zone, boolean spot, int count, Instant at) {
        public JsonObject toJson() {
            JsonObject o = new JsonObject();
            o.addProperty("t", type);
            o.addProperty("z", zone);
            o.addProperty("b", spot);
            o.addProperty("n", count);
            o.addProperty("at", at.toEpochMilli());
            return o;
        }

        static Booking parse(String name, JsonObject o) throws Json.BadMessage {
            return new Booking(name, Json.text(o, "t"), Json.text(o, "z"), Json.flagOr(o, "b", false),
                    (int) Json.count(o, "n"), Instant.ofEpochMilli(Json.count(o, "at")));
        }
    }

    /** Hears of keys that concern membership, and of every end of a batch of changes. */
    public interface Observer {
        void viewChanged(JsonObject view, long stamp);

        void memberChanged(String node, JsonObject member, long stamp);

        void settled();

        void loaded();
    }

    private final TreeMap<String, Job> jobs = new TreeMap<>();
    private final Object2ObjectOpenHashMap<String, MachineRecord> machines = new Object2ObjectOpenHashMap<>();
    private final Object2ObjectOpenHashMap<String, Map<TaskId, Claim>> claims = new Object2ObjectOpenHashMap<>();
    private final TreeMap<String, Booking> bookings = new TreeMap<>();
    private final Map<String, MachineType> types = new TreeMap<>();
    /** Chunks without a job: while keys come one by one, its header is still to come; afterwards the job is over. */
    private final Map<String, JsonObject> orphans = new HashMap<>();
    private Observer observer;

    public void observer(Observer o) {
        observer = o;
    }

    public Collection<Job> jobs() {
        return jobs.values();
    }

    public Job job(String id) {
        return jobs.get(id);
    }

    public Collection<MachineRecord> machines() {
        return machines.values();
    }

    public MachineRecord machine(String name) {
        return machines.get(name);
    }

    public Map<TaskId, Claim> claimsOn(String machine) {
        return claims.getOrDefault(machine, Map.of());
    }

    public Collection<String> claimedMachines() {
        return List.copyOf(claims.keySet());
    }

    public Collection<Booking> bookings() {
        return bookings.values();
    }

    public Collection<String> orphans() {
        return orphans.keySet();
    }

    public Map<String, MachineType> types() {
        return types;
    }

    /** CPUs and cards that the claims of a team hold, those not confirmed gone included. */
    public double[] usage(String team) {
        double cpus = 0;
        double cards = 0;
        for (Job j : jobs.values()) {
            if (j.spec().team().equals(team)) {
                int n = j.claimCount();
                cpus += n * j.spec().cpus();
                cards += n * j.spec().cards();
            }
        }
        return new double[] {cpus, cards};
    }

    @Override
    public void changed(String key, JsonElement value, long stamp) {
        try {
            apply(key, value == null ? null : value.getAsJsonObject(), stamp);
        } catch (Json.BadMessage | IllegalStateException | IllegalArgumentException e) {
            LOG.error("the value of {} can't be read: {}", key, e.getMessage());
        }
    }

    private void apply(String key, JsonObject value, long stamp) throws Json.BadMessage {
        if (key.startsWith(Keys.TASKS)) {
            tasksChanged(key.substring(Keys.TASKS.length()), value);
        } else if (key.startsWith(Keys.JOBS)) {
            jobChanged(key.substring(Keys.JOBS.length()), value);
        } else if (key.startsWith(Keys.MACHINES)) {
            String name = key.substring(Keys.MACHINES.length());
            if (value == null) {
                machines.remove(name);
            } else {
                machines.put(name, MachineRecord.parse(name, value));
            }
        } else if (key.startsWith(Keys.BOOKINGS)) {
            String name = key.substring(Keys.BOOKINGS.length());
            if (value == null) {
                bookings.remove(name);
            } else {
                bookings.put(name, Booking.parse(name, value));
            }
        } else if (key.startsWith(Keys.MEMBERS)) {
            observer.memberChanged(key.substring(Keys.MEMBERS.length()), value, stamp);
        } else if (key.equals(Keys.VIEW)) {
            observer.viewChanged(value, stamp);
        } else if (key.equals(Keys.TYPES) && value != null) {
            types.clear();
            for (MachineType t : MachineType.parseAll(value)) {
                types.put(t.name(), t);
            }
        }
    }

    private void jobChanged(String id, JsonObject value) throws Json.BadMessage {
        Job before = jobs.get(id);
        if (value == null) {
            jobs.remove(id);
            if (before != null) {
                before.claims().forEach(this::unindex);
                for (int i = 0; i < before.chunkCount(); i++) {
                    if (before.stored(i) != null) {
                        orphans.put(id + "/" + i, new JsonObject());
                    }
                }
            }
            return;
        }
        Job job = Job.parse(value);
        jobs.put(id, job);
        for (int i = 0; i < job.chunkCount(); i++) {
            if (before != null) {
                job.replace(i, before.stored(i));
            }
        }
        if (!orphans.isEmpty()) {
            for (String path : List.copyOf(orphans.keySet())) {
                if (path.startsWith(id + "/")) {
                    tasksChanged(path, orphans.remove(path));
                }
            }
        }
    }

    private void tasksChanged(String path, JsonObject value) throws Json.BadMessage {
        int slash = path.indexOf('/');
        Job job = jobs.get(path.substring(0, slash));
        if (job == null) {
            if (value == null) {
                orphans.remove(path);
            } else {
                orphans.put(path, value);
            }
            return;
        }
        int index = Integer.parseInt(path.substring(slash + 1));
        Chunk before = job.stored(index);
        if (before != null) {
            before.claims().forEach(this::unindex);
        }
        if (value == null) {
            job.replace(index, null);
            return;
        }
        Chunk chunk = job.fresh(index).read(value);
        job.replace(index, chunk);
        for (Claim c : chunk.claims()) {
            claims.computeIfAbsent(c.machine(), m -> new TreeMap<>()).put(c.task(), c);
        }
    }

    private void unindex(Claim c) {
        Map<TaskId, Claim> on = claims.get(c.machine());
        if (on != null) {
            on.remove(c.task(), c);
            if (on.isEmpty()) {
                claims.remove(c.machine());
            }
        }
    }

    @Override
    public void loaded() {
        observer.loaded();
    }

    @Override
    public void settled() {
        observer.settled();
    }

    /** The middle of a job's phase, or null while there are none. */
    public static Duration median(Job job, boolean fetch) {
        IntArrayList all = new IntArrayList();
        for (int i = 0; i < job.chunkCount(); i++) {
            Chunk c = job.stored(i);
            if (c != null) {
                all.addAll(fetch ? c.fetches() : c.runs());
            }
        }
        if (all.isEmpty()) {
            return null;
        }
        all.sort(null);
        int n = all.size();
        double middle = n % 2 == 1 ? all.getInt(n / 2) : (all.getInt(n / 2 - 1) + all.getInt(n / 2)) / 2.0;
        return Duration.ofMillis((long) (middle * 100));
    }
}
