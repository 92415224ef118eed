package org.havenford.coordination;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.havenford.bookkeeping.Job;
import org.havenford.bookkeeping.Keys;
import org.havenford.bookkeeping.Ledger;
import org.havenford.bookkeeping.Mirror;
import org.havenford.bookkeeping.StateStore;
import org.havenford.bookkeeping.StateStore.Outcome;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.protocol.Settings;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpServer.Response;

/** What users ask. Whatever is not yet final is answered from the store itself, never from our copy alone. */
public final class Users {
    private static final Duration SOON = Duration.ofSeconds(1);
    /** What a cancellation adds to a header. */
    private static final int CANCELLED_LENGTH = 24;

    private final EventLoop loop;
    private final Settings settings;
    private final Ledger ledger;
    private final Mirror mirror;
    private final StateStore store;
    private final Runnable wake;
    /** Jobs asked for since the last comparison was sent. */
    private final Map<String, List<Consumer<Response>>> asking = new LinkedHashMap<>();

    private boolean comparing;
    /** Final states never change, so they can be answered from memory. */
    private final Cache<String, String> finals =
            CacheBuilder.newBuilder().maximumSize(5000).build();

    public Users(EventLoop loop, Settings settings, Ledger ledger, Mirror mirror, StateStore store, Runnable wake) {
        this.loop = loop;
        this.settings = settings;
        this.ledger = ledger;
        this.mirror = mirror;
        this.store = store;
        this.wake = wake;
    }

    private static Response error(int status, String why) {
        JsonObject o = new JsonObject();
        o.addProperty("error", why);
        return Response.of(status, o.toString());
    }

    private static String state(String id, String status) {
        return "{\"nameId\":\"" + id + "\",\"status\":\"" + status + "\"}";
    }

    private static String progress(String id, String status, int done, int running) {
        return "{\"nameId\":\"" + id + "\",\"status\":\"" + status + "\",\"done\":" + done + ",\"running\":" + running
                + "}";
    }

    /** Refused at once: the state service is not to be reached, or more is waiting than can be done in time. */
    private boolean overloaded() {
        return !mirror.loaded() || store.queued(StateStore.Urgency.USER) > 60;
    }

    // ---- POST /submissions

    public void submit(byte[] body, Consumer<Response> answer) {
        if (body == null) {
            answer.accept(error(400, "the body is larger than 64 KiB or incomplete"));
            return;
        }
        JobSpec spec;
        try {
            spec = JobSpec.parse(Json.object(new String(body, StandardCharsets.UTF_8)));
        } catch (Json.BadMessage e) {
            answer.accept(error(400, e.getMessage()));
            return;
        }
        String known = finals.getIfPresent(spec.id());
        if (known != null) {
            answer.accept(Response.of(200, known));
            return;
        }
        if (overloaded() || ledger.types().isEmpty()) {
            answer.accept(Response.comeBack(SOON));
            return;
        }
        if (ledger.job(spec.id()) != null) {
            read(spec.id(), answer);
            return;
        }
        String never = cannotRun(spec);
        if (never != null) {
            // What looks impossible now may have been accepted when it was not; then it stays accepted.
            read(spec.id(), r -> answer.accept(r.status() == 404 ? error(422, never) : r));
            return;
        }
        Runnable accepted = () -> accept(spec, answer);
        if (spec.awaits().isEmpty()) {
            accepted.run();
        } else {
            awaited(List.copyOf(spec.awaits()), 0, spec, accepted, answer);
        }
    }

    /**
     * Goes on once each job that is named has been found to be accepted. Acceptance can't be undone, so it is read and need
     * not be guarded. One that is in neither place is named before it was accepted, or never was.
     */
    private void awaited(List<String> ids, int from, JobSpec spec, Runnable accepted, Consumer<Response> answer) {
        int i = from;
        while (i < ids.size() && (ledger.job(ids.get(i)) != null || finals.getIfPresent(ids.get(i)) != null)) {
            i++;
        }
        if (i == ids.size()) {
            accepted.run();
            return;
        }
        int at = i;
        readFromStore(ids.get(i), r -> {
            if (r.status() == 200) {
                awaited(ids, at + 1, spec, accepted, answer);
            } else if (r.status() == 404) {
                // A job that is known already stays accepted, whatever this copy of it says.
                read(
                        spec.id(),
                        own -> answer.accept(
                                own.status() == 404 ? error(422, "awaits a job that was never accepted") : own));
            } else {
                answer.accept(r);
            }
        });
    }

    private String cannotRun(JobSpec s) {
        Settings.Team team = settings.teams().get(s.team());
        if (team == null) {
            return "unknown team";
        }
        if (team.cpusMax() > 0 && s.cpus() > team.cpusMax() || team.cardsMax() > 0 && s.cards() > team.cardsMax()) {
            return "a task needs more than the team's limit";
        }
        for (MachineType t : ledger.types().values()) {
            for (String zone : t.zones()) {
                if (s.allows(t, zone, false)) {
                    return null;
                }
            }
        }
        return "a task fits no allowed machine type";
    }

    private void accept(JobSpec given, Consumer<Response> answer) {
        JobSpec spec = given;
        if (given.types() != null) {
            Set<String> kept = new TreeSet<>(given.types());
            kept.retainAll(ledger.types().keySet());
            spec = given.withTypes(kept);
        }
        String id = spec.id();
        Job job = new Job(
                spec,
                loop.timeOfDay(),
                Job.chunkSize(
                        settings.valueBytes(), spec.tasks(), settings.peers().size() + 1, settings.scarceChanges()),
                false);
        if (job.readyHeader(loop.timeOfDay()).toString().getBytes(StandardCharsets.UTF_8).length + CANCELLED_LENGTH
                > settings.valueBytes()) {
            answer.accept(
                    error(400, "the names in this submission, and the jobs that it awaits, are too many to be kept"));
            return;
        }
        StateStore.Txn txn = new StateStore.Txn()
                .guard(Keys.job(id), 0)
                .guard(Keys.end(id), 0)
                .set(Keys.job(id), job.header(false));
        store.commit(txn, StateStore.Urgency.USER, r -> {
            if (r.ok()) {
                mirror.committed(txn, r.edition());
                answer.accept(Response.of(201, state(id, "pending")));
                wake.run();
            } else if (r.outcome() == Outcome.CONFLICT) {
                read(id, answer);
            } else {
                answer.accept(Response.comeBack(SOON));
            }
        });
    }

    // ---- GET /submissions/{id}

    public void get(String id, Consumer<Response> answer) {
        if (!JobSpec.validId(id)) {
            answer.accept(error(404, "no such job"));
            return;
        }
        String known = finals.getIfPresent(id);
        if (known != null) {
            answer.accept(Response.of(200, known));
        } else if (overloaded()) {
            answer.accept(Response.comeBack(SOON));
        } else {
            read(id, answer);
        }
    }

    /**
     * Answers from our copy, once a comparison of stamps has shown that the copy is the present state; one comparison
     * serves all who wait for it. What our copy lacks, or holds in an older version, is read from the store.
     */
    private void read(String id, Consumer<Response> answer) {
        if (ledger.job(id) == null) {
            readFromStore(id, answer);
            return;
        }
        asking.computeIfAbsent(id, k -> new ArrayList<>()).add(answer);
        compare();
    }

    private void compare() {
        if (comparing || asking.isEmpty()) {
            return;
        }
        comparing = true;
        Map<String, List<Consumer<Response>>> asked = new LinkedHashMap<>();
        StateStore.Txn txn = new StateStore.Txn();
        for (Iterator<Map.Entry<String, List<Consumer<Response>>>> it =
                        asking.entrySet().iterator();
                it.hasNext() && asked.size() < settings.txnOps() * 4; ) {
            Map.Entry<String, List<Consumer<Response>>> e = it.next();
            it.remove();
            if (ledger.job(e.getKey()) == null) {
                e.getValue().forEach(w -> readFromStore(e.getKey(), w));
                continue;
            }
            asked.put(e.getKey(), e.getValue());
            txn.guard(Keys.job(e.getKey()), mirror.stamp(Keys.job(e.getKey())));
        }
        if (asked.isEmpty()) {
            comparing = false;
            return;
        }
        Map<String, Boolean> cancelled = new HashMap<>();
        asked.keySet().forEach(id -> cancelled.put(id, ledger.job(id).cancelled()));
        store.commit(txn, StateStore.Urgency.USER, r -> {
            comparing = false;
            Set<String> stale = new HashSet<>();
            if (r.outcome() == Outcome.CONFLICT && r.body() != null) {
                try {
                    stale.addAll(Json.texts(r.body(), "failed"));
                } catch (Json.BadMessage e) {
                    stale.clear();
                }
            }
            if (r.outcome() == Outcome.CONFLICT && stale.isEmpty()) {
                asked.keySet().forEach(id -> stale.add(Keys.job(id)));
            }
            asked.forEach((id, waiting) -> {
                if (!r.ok() && r.outcome() != Outcome.CONFLICT) {
                    waiting.forEach(w -> w.accept(Response.comeBack(SOON)));
                } else if (stale.contains(Keys.job(id))) {
                    waiting.forEach(w -> readFromStore(id, w));
                } else {
                    String text = live(id, cancelled.get(id));
                    waiting.forEach(w -> w.accept(Response.of(200, text)));
                }
            });
            compare();
        });
    }

    /** The header first, the final state second: a job that ends in between is found by the second call. */
    private void readFromStore(String id, Consumer<Response> answer) {
        store.get(Keys.job(id), StateStore.Urgency.USER, r -> {
            if (r.ok()) {
                answer.accept(Response.of(200, live(id, cancelled(r.body()))));
            } else if (r.outcome() == Outcome.ABSENT) {
                store.get(Keys.end(id), StateStore.Urgency.USER, e -> ended(id, e, answer));
            } else {
                answer.accept(Response.comeBack(SOON));
            }
        });
    }

    private static boolean cancelled(JsonObject body) {
        try {
            return Json.flagOr(Json.child(body, "v"), "_cancelled", false);
        } catch (Json.BadMessage e) {
            return false;
        }
    }

    private String live(String id, boolean cancelled) {
        Job j = ledger.job(id);
        int done = j == null ? 0 : j.doneCount();
        int running = j == null ? 0 : j.claimCount();
        if (cancelled) {
            return progress(id, "withdrawn", done, 0);
        }
        return progress(id, running > 0 ? "running" : "pending", done, running);
    }

    private void ended(String id, StateStore.Result r, Consumer<Response> answer) {
        if (r.ok()) {
            try {
                JsonObject v = Json.child(r.body(), "v");
                String status = Json.text(v, "status");
                int done = status.equals("done") ? (int) Json.count(v, "tasks") : 0;
                String text = progress(id, status, done, 0);
                finals.put(id, text);
                answer.accept(Response.of(200, text));
            } catch (Json.BadMessage e) {
                answer.accept(Response.comeBack(SOON));
            }
        } else if (r.outcome() == Outcome.ABSENT) {
            answer.accept(error(404, "no such job"));
        } else {
            answer.accept(Response.comeBack(SOON));
        }
    }

    // ---- POST /submissions/{id}/abort

    public void cancel(String id, Consumer<Response> answer) {
        if (!JobSpec.validId(id)) {
            answer.accept(error(404, "no such job"));
        } else if (overloaded()) {
            answer.accept(Response.comeBack(SOON));
        } else {
            cancel(id, 3, answer);
        }
    }

    private void cancel(String id, int tries, Consumer<Response> answer) {
        store.get(Keys.job(id), StateStore.Urgency.USER, r -> {
            if (r.outcome() == Outcome.ABSENT) {
                store.get(Keys.end(id), StateStore.Urgency.USER, e -> ended(id, e, answer));
                return;
            }
            try {
                if (!r.ok()) {
                    answer.accept(Response.comeBack(SOON));
                    return;
                }
                Job job = Job.parse(Json.child(r.body(), "v"));
                if (job.cancelled()) {
                    answer.accept(Response.of(200, state(id, "withdrawn")));
                    return;
                }
                StateStore.Txn txn = new StateStore.Txn()
                        .guard(Keys.job(id), Json.count(r.body(), "stamp"))
                        .set(Keys.job(id), job.header(true));
                store.commit(txn, StateStore.Urgency.USER, c -> {
                    if (c.ok()) {
                        mirror.committed(txn, c.edition());
                        answer.accept(Response.of(200, state(id, "withdrawn")));
                        wake.run();
                    } else if (c.outcome() == Outcome.CONFLICT && tries > 1) {
                        cancel(id, tries - 1, answer);
                    } else {
                        answer.accept(Response.comeBack(SOON));
                    }
                });
            } catch (Json.BadMessage e) {
                answer.accept(Response.comeBack(SOON));
            }
        });
    }
}
