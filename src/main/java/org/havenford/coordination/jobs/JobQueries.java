package org.havenford.coordination.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.havenford.protocol.Json;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.StoreResult;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.transport.HttpServer.Response;

/**
 * Answers questions about jobs. Whatever is not yet final is answered from our replica only once a comparison of stamps has
 * shown that the replica holds the present header; one comparison serves all who wait for it. What the replica lacks, or
 * holds in an older version, is read from the store.
 */
final class JobQueries {
    /** A transaction allows this many conditions a change. */
    private static final int CONDITIONS_PER_CHANGE = 4;

    private final CoordinationContext context;
    private final JobDependencies dependencies;
    /** Jobs asked for since the last comparison was sent. */
    private final Map<String, List<Consumer<Response>>> waiting = new LinkedHashMap<>();

    private boolean comparing;

    JobQueries(CoordinationContext context, JobDependencies dependencies) {
        this.context = context;
        this.dependencies = dependencies;
    }

    /** Answers with the present state of a job; 404 if it was never accepted. */
    void query(String id, Consumer<Response> answer) {
        FinalState known = context.finalStates().known(id);
        if (known != null) {
            answer.accept(JobApiResponses.ended(id, known));
        } else if (context.clusterState().job(id) == null) {
            readFromStore(id, answer);
        } else {
            waiting.computeIfAbsent(id, k -> new ArrayList<>()).add(answer);
            compare();
        }
    }

    private void compare() {
        if (comparing || waiting.isEmpty()) {
            return;
        }
        Map<String, List<Consumer<Response>>> batch = nextBatch();
        if (batch.isEmpty()) {
            return;
        }
        Transaction transaction = new Transaction();
        Map<String, Job> compared = new HashMap<>();
        for (String id : batch.keySet()) {
            transaction.requireRevision(Keys.job(id), context.modRevision(Keys.job(id)));
            compared.put(id, context.clusterState().job(id));
        }
        comparing = true;
        context.store().commit(transaction, CallPriority.USER, result -> {
            comparing = false;
            boolean answered = result.ok() || result.outcome() == StoreOutcome.CONFLICT;
            Set<String> stale = answered ? stale(result, batch.keySet()) : Set.of();
            batch.forEach((id, answers) -> {
                if (!answered) {
                    answers.forEach(a -> a.accept(JobApiResponses.retryLater()));
                } else if (stale.contains(Keys.job(id))) {
                    answers.forEach(a -> readFromStore(id, a));
                } else {
                    Response response = unfinished(compared.get(id));
                    answers.forEach(a -> a.accept(response));
                }
            });
            compare();
        });
    }

    private Map<String, List<Consumer<Response>>> nextBatch() {
        Map<String, List<Consumer<Response>>> batch = new LinkedHashMap<>();
        int most = context.settings().txnOps() * CONDITIONS_PER_CHANGE;
        Iterator<Map.Entry<String, List<Consumer<Response>>>> entries =
                waiting.entrySet().iterator();
        while (entries.hasNext() && batch.size() < most) {
            Map.Entry<String, List<Consumer<Response>>> entry = entries.next();
            entries.remove();
            if (context.clusterState().job(entry.getKey()) == null) {
                entry.getValue().forEach(a -> readFromStore(entry.getKey(), a));
            } else {
                batch.put(entry.getKey(), entry.getValue());
            }
        }
        return batch;
    }

    /** Headers that have changed since our replica's; all of them, if the service does not say. */
    private static Set<String> stale(StoreResult result, Set<String> asked) {
        Set<String> stale = new HashSet<>();
        if (result.ok()) {
            return stale;
        }
        try {
            stale.addAll(result.conflictingKeys());
        } catch (Json.BadMessage e) {
            stale.clear();
        }
        if (stale.isEmpty()) {
            asked.forEach(id -> stale.add(Keys.job(id)));
        }
        return stale;
    }

    /** The header first, the final state second: a job that ends in between is found by the second call. */
    void readFromStore(String id, Consumer<Response> answer) {
        context.store().get(Keys.job(id), CallPriority.USER, result -> {
            if (result.ok()) {
                answer.accept(unfinished(result));
            } else if (result.outcome() == StoreOutcome.ABSENT) {
                readFinalState(id, answer);
            } else {
                answer.accept(JobApiResponses.retryLater());
            }
        });
    }

    /** Answers with how a job ended; 404 if there is no final state. */
    void readFinalState(String id, Consumer<Response> answer) {
        context.store().get(Keys.finalState(id), CallPriority.USER, result -> {
            if (result.ok()) {
                FinalState state = context.finalStates().parsed(id, result);
                answer.accept(state == null ? JobApiResponses.retryLater() : JobApiResponses.ended(id, state));
            } else if (result.outcome() == StoreOutcome.ABSENT) {
                answer.accept(JobApiResponses.unknownJob());
            } else {
                answer.accept(JobApiResponses.retryLater());
            }
        });
    }

    private Response unfinished(StoreResult header) {
        try {
            return unfinished(Job.parse(header.value()));
        } catch (Json.BadMessage e) {
            return JobApiResponses.retryLater();
        }
    }

    /** What a header says that is the present one; how many tasks run and are done is taken from our replica. */
    private Response unfinished(Job header) {
        Job job = context.clusterState().job(header.id());
        int done = job == null ? 0 : job.doneCount();
        int running = job == null ? 0 : job.claimCount();
        if (header.cancelled()) {
            return JobApiResponses.beingCancelled(header.id(), done);
        }
        if (header.awaitsDependencies() && !dependencies.isCertainlyPending(header)) {
            return JobApiResponses.retryLater();
        }
        return JobApiResponses.unfinished(header.id(), done, running);
    }
}
