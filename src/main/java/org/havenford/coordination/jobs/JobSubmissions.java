package org.havenford.coordination.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.Json;
import org.havenford.protocol.MachineType;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.StoreResult;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.transport.HttpServer.Response;

/** Checks submissions and stores the accepted ones. A job is accepted once its header is in the store. */
final class JobSubmissions {
    /** What a cancellation adds to a header. */
    private static final int CANCELLED_LENGTH = 24;
    /** A transaction allows this many conditions a change. */
    private static final int CONDITIONS_PER_CHANGE = 4;
    /** A job is looked for in two places: its header and its final state. */
    private static final int CONDITIONS_PER_JOB = 2;

    private final CoordinationContext context;
    private final JobDependencies dependencies;
    private final JobQueries queries;
    private final Runnable wake;

    JobSubmissions(CoordinationContext context, JobDependencies dependencies, JobQueries queries, Runnable wake) {
        this.context = context;
        this.dependencies = dependencies;
        this.queries = queries;
        this.wake = wake;
    }

    /** Accepts a well-formed job that can run, or answers with the state of one that is known already. */
    void submit(JobSpec spec, Consumer<Response> answer) {
        if (context.clusterState().job(spec.id()) != null) {
            queries.query(spec.id(), answer);
            return;
        }
        String neverRuns = whyItCannotRun(spec);
        if (neverRuns != null) {
            refuse(spec, 422, neverRuns, answer);
            return;
        }
        requireAccepted(unknown(spec), spec, answer);
    }

    /** What looks impossible now may have been accepted when it was not; then it stays accepted. */
    private void refuse(JobSpec spec, int status, String reason, Consumer<Response> answer) {
        queries.readFromStore(
                spec.id(), r -> answer.accept(r.status() == 404 ? JobApiResponses.error(status, reason) : r));
    }

    private String whyItCannotRun(JobSpec spec) {
        PlatformSettings.Team team = context.settings().teams().get(spec.team());
        if (team == null) {
            return "unknown team";
        }
        if ((team.cpusMax() > 0 && spec.cpus() > team.cpusMax())
                || (team.gpusMax() > 0 && spec.gpus() > team.gpusMax())) {
            return "a task needs more than the team's limit";
        }
        for (MachineType type : context.clusterState().types().values()) {
            for (String zone : type.zones()) {
                if (PlacementRules.machine(spec, type, zone, false).allowed()) {
                    return null;
                }
            }
        }
        return "a task fits no allowed machine type";
    }

    // ---- jobs that the submission awaits

    /** Awaited jobs that this controller has not seen to be accepted. */
    private ArrayDeque<String> unknown(JobSpec spec) {
        ArrayDeque<String> unknown = new ArrayDeque<>();
        for (String id : spec.dependencies()) {
            if (context.clusterState().job(id) == null && context.finalStates().known(id) == null) {
                unknown.add(id);
            }
        }
        return unknown;
    }

    /**
     * Goes on once each awaited job was found to be accepted. Acceptance can't be undone, so it is read and need not be
     * guarded. Many jobs are looked for with one transaction that only compares: a condition that fails names a job that
     * exists. As the conditions of a transaction hold at one moment, a job that ends meanwhile is not missed.
     */
    private void requireAccepted(ArrayDeque<String> unknown, JobSpec spec, Consumer<Response> answer) {
        if (unknown.isEmpty()) {
            learnEnds(spec, answer);
            return;
        }
        Transaction transaction = new Transaction();
        int most = context.settings().txnOps() * CONDITIONS_PER_CHANGE / CONDITIONS_PER_JOB;
        List<String> asked = new ArrayList<>();
        for (String id : unknown) {
            if (asked.size() < most) {
                asked.add(id);
                transaction.requireRevision(Keys.job(id), 0).requireRevision(Keys.finalState(id), 0);
            }
        }
        context.store().commit(transaction, CallPriority.USER, result -> {
            if (result.ok()) {
                refuse(spec, 422, "awaits a job that was never accepted: " + asked.get(0), answer);
                return;
            }
            Set<String> existing = existing(result, asked);
            if (existing.isEmpty()) {
                answer.accept(JobApiResponses.retryLater());
                return;
            }
            unknown.removeAll(existing);
            requireAccepted(unknown, spec, answer);
        });
    }

    private static Set<String> existing(StoreResult result, List<String> asked) {
        Set<String> existing = new HashSet<>();
        if (result.outcome() != StoreOutcome.CONFLICT) {
            return existing;
        }
        try {
            List<String> failed = result.conflictingKeys();
            for (String id : asked) {
                if (failed.contains(Keys.job(id)) || failed.contains(Keys.finalState(id))) {
                    existing.add(id);
                }
            }
        } catch (Json.BadMessage e) {
            existing.clear();
        }
        return existing;
    }

    /** Reads how the awaited jobs that are over have ended, if they are few: then the job need not wait first. */
    private void learnEnds(JobSpec spec, Consumer<Response> answer) {
        List<String> over = new ArrayList<>(unknown(spec));
        if (over.isEmpty() || over.size() > FinalStateCache.MAX_READS) {
            accept(spec, answer);
            return;
        }
        int[] left = {over.size()};
        for (String id : over) {
            context.store().get(Keys.finalState(id), CallPriority.USER, result -> {
                if (result.ok()) {
                    context.finalStates().parsed(id, result);
                }
                left[0]--;
                if (left[0] == 0) {
                    accept(spec, answer);
                }
            });
        }
    }

    // ---- acceptance

    private void accept(JobSpec given, Consumer<Response> answer) {
        JobSpec spec = withKnownTypes(given);
        String id = spec.id();
        Instant now = context.loop().timeOfDay();
        Job job = new Job(spec, now, chunkSize(spec), false);
        if (tooLarge(job, now)) {
            refuse(
                    spec,
                    400,
                    "the names in this submission, and the jobs that it awaits, are too many to be kept",
                    answer);
            return;
        }
        Transaction transaction =
                new Transaction().requireRevision(Keys.job(id), 0).requireRevision(Keys.finalState(id), 0);
        JobDependencies.DependencyStatus outlook = dependencies.statusOf(spec.dependencies());
        FinalState withdrawn = outlook == JobDependencies.DependencyStatus.CANCELLED
                ? FinalState.of(FinalState.Status.CANCELLED, spec.taskCount())
                : null;
        if (withdrawn != null) {
            // It can never start, so it is over at once.
            transaction.put(Keys.finalState(id), withdrawn.toJson());
        } else if (outlook == JobDependencies.DependencyStatus.DONE
                && !spec.dependencies().isEmpty()) {
            transaction.put(Keys.job(id), job.readyHeader(now));
        } else {
            transaction.put(Keys.job(id), job.header(false));
        }
        context.store().commit(transaction, CallPriority.USER, result -> {
            if (result.ok()) {
                if (withdrawn != null) {
                    context.finalStates().put(id, withdrawn);
                }
                context.replica().applyCommitted(transaction, result.revision());
                answer.accept(JobApiResponses.accepted(id));
                wake.run();
            } else if (result.outcome() == StoreOutcome.CONFLICT) {
                queries.query(id, answer);
            } else {
                answer.accept(JobApiResponses.retryLater());
            }
        });
    }

    /** Keeps of the allowed types those that exist, so that the stored job stays small. */
    private JobSpec withKnownTypes(JobSpec spec) {
        if (spec.types() == null) {
            return spec;
        }
        Set<String> kept = new TreeSet<>(spec.types());
        kept.retainAll(context.clusterState().types().keySet());
        return spec.withTypes(kept);
    }

    private int chunkSize(JobSpec spec) {
        PlatformSettings settings = context.settings();
        int controllers = settings.peers().size() + 1;
        return Job.taskRangeSize(settings.valueBytes(), spec.taskCount(), controllers, settings.scarceChanges());
    }

    /** Whether the header would not fit a value of the store, now or once the job is released and cancelled. */
    private boolean tooLarge(Job job, Instant now) {
        int bytes = job.readyHeader(now).toString().getBytes(StandardCharsets.UTF_8).length;
        return bytes + CANCELLED_LENGTH > context.settings().valueBytes();
    }
}
