package org.havenford.coordination.jobs;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.havenford.coordination.jobs.DependencyVerifier.Verification;
import org.havenford.coordination.jobs.JobDependencies.DependencyStatus;
import org.havenford.coordination.placement.PlacementRules;
import org.havenford.protocol.JobSpec;
import org.havenford.protocol.MachineType;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.CallPriority;
import org.havenford.storage.StoreOutcome;
import org.havenford.storage.Transaction;
import org.havenford.storage.records.FinalState;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.transport.HttpServer.Response;

/**
 * Validates submissions and stores the accepted ones. A job is accepted once its header, or its final state if a
 * dependency is already cancelled, is in the store. Submissions are idempotent: one with the id of a known job is
 * answered with the state of that job.
 */
final class JobSubmissions {
    /** Upper bound of the bytes that a cancellation adds to a header. */
    private static final int CANCELLATION_BYTES = 24;

    private final CoordinationContext context;
    private final JobDependencies dependencies;
    private final DependencyVerifier dependencyVerifier;
    private final JobQueries queries;
    private final Runnable requestRound;

    JobSubmissions(
            CoordinationContext context, JobDependencies dependencies, JobQueries queries, Runnable requestRound) {
        this.context = context;
        this.dependencies = dependencies;
        this.dependencyVerifier = new DependencyVerifier(context);
        this.queries = queries;
        this.requestRound = requestRound;
    }

    /** Accepts a well-formed job that can run, or answers with the state of the job if its id is already known. */
    void submit(JobSpec spec, Consumer<Response> callback) {
        if (context.clusterState().job(spec.id()) != null) {
            queries.query(spec.id(), callback);
            return;
        }
        Optional<String> reason = infeasibilityReason(spec);
        if (reason.isPresent()) {
            rejectUnlessAccepted(spec, JobApiResponses.UNPROCESSABLE, reason.get(), callback);
            return;
        }
        dependencyVerifier.verify(spec, verification -> handleVerification(verification, spec, callback));
    }

    private void handleVerification(Verification verification, JobSpec spec, Consumer<Response> callback) {
        if (verification instanceof Verification.NeverAccepted neverAccepted) {
            String reason = "awaits a job that was never accepted: " + neverAccepted.jobId();
            rejectUnlessAccepted(spec, JobApiResponses.UNPROCESSABLE, reason, callback);
        } else if (verification instanceof Verification.Unavailable) {
            callback.accept(JobApiResponses.retryLater());
        } else {
            accept(withKnownTypes(spec), callback);
        }
    }

    /**
     * Rejects a submission unless its job was accepted before: a job that is infeasible now may have been feasible when
     * it was first submitted, and then its state is returned.
     */
    private void rejectUnlessAccepted(JobSpec spec, int status, String reason, Consumer<Response> callback) {
        queries.readFromStore(
                spec.id(),
                response -> callback.accept(
                        JobApiResponses.isUnknownJob(response) ? JobApiResponses.error(status, reason) : response));
    }

    /** Returns why no task of a job could ever be placed, or empty if one could. */
    private Optional<String> infeasibilityReason(JobSpec spec) {
        PlatformSettings.Team team = context.settings().teams().get(spec.team());
        if (team == null) {
            return Optional.of("unknown team");
        }
        if ((team.cpusMax() > 0 && spec.cpus() > team.cpusMax())
                || (team.gpusMax() > 0 && spec.gpus() > team.gpusMax())) {
            return Optional.of("a task needs more than the team's limit");
        }
        return fitsSomeMachineType(spec) ? Optional.empty() : Optional.of("a task fits no allowed machine type");
    }

    private boolean fitsSomeMachineType(JobSpec spec) {
        for (MachineType type : context.clusterState().types().values()) {
            for (String zone : type.zones()) {
                if (PlacementRules.checkMachine(spec, type, zone, false).allowed()) {
                    return true;
                }
            }
        }
        return false;
    }

    private void accept(JobSpec spec, Consumer<Response> callback) {
        Instant now = context.loop().timeOfDay();
        Job job = new Job(spec, now, taskRangeSize(spec), false);
        if (exceedsValueLimit(job, now)) {
            rejectUnlessAccepted(
                    spec,
                    JobApiResponses.BAD_REQUEST,
                    "the names in this submission, and the jobs that it awaits, are too many to be kept",
                    callback);
            return;
        }
        DependencyStatus status = dependencies.statusOf(spec.dependencies());
        if (status == DependencyStatus.CANCELLED) {
            acceptCancelled(spec, callback);
            return;
        }
        boolean isReady =
                status == DependencyStatus.DONE && !spec.dependencies().isEmpty();
        Transaction transaction = requireUnknownJob(spec.id())
                .put(Keys.job(spec.id()), isReady ? job.releasedHeader(now) : job.header(false));
        commit(transaction, spec.id(), () -> {}, callback);
    }

    /** Accepts a job with a cancelled dependency. It can never start, so it is stored with its final state only. */
    private void acceptCancelled(JobSpec spec, Consumer<Response> callback) {
        FinalState cancelled = FinalState.of(FinalState.Status.CANCELLED, spec.taskCount());
        Transaction transaction = requireUnknownJob(spec.id()).put(Keys.finalState(spec.id()), cancelled.toJson());
        commit(transaction, spec.id(), () -> context.finalStates().put(spec.id(), cancelled), callback);
    }

    /** Returns a transaction that fails if the store holds an unfinished or ended job with this id. */
    private static Transaction requireUnknownJob(String jobId) {
        return new Transaction().requireRevision(Keys.job(jobId), 0).requireRevision(Keys.finalState(jobId), 0);
    }

    private void commit(Transaction transaction, String jobId, Runnable onSuccess, Consumer<Response> callback) {
        context.store().commit(transaction, CallPriority.USER, result -> {
            if (result.ok()) {
                onSuccess.run();
                context.replica().applyCommitted(transaction, result.revision());
                callback.accept(JobApiResponses.accepted(jobId));
                requestRound.run();
            } else if (result.outcome() == StoreOutcome.CONFLICT) {
                queries.query(jobId, callback);
            } else {
                callback.accept(JobApiResponses.retryLater());
            }
        });
    }

    /** Removes unknown machine types from the allowed ones, so that the stored header stays small. */
    private JobSpec withKnownTypes(JobSpec spec) {
        if (spec.types() == null) {
            return spec;
        }
        Set<String> knownTypes = new TreeSet<>(spec.types());
        knownTypes.retainAll(context.clusterState().types().keySet());
        return spec.withTypes(knownTypes);
    }

    private int taskRangeSize(JobSpec spec) {
        PlatformSettings settings = context.settings();
        int controllerCount = settings.peers().size() + 1;
        return Job.taskRangeSize(settings.valueBytes(), spec.taskCount(), controllerCount, settings.hasScarceWrites());
    }

    /**
     * Returns whether the header, including the fields that a release and a cancellation add, exceeds the value limit or
     * leaves too little room for the other values of a claim.
     */
    private boolean exceedsValueLimit(Job job, Instant now) {
        int bytes = job.releasedHeader(now).toString().getBytes(StandardCharsets.UTF_8).length;
        return bytes + CANCELLATION_BYTES > context.transactionLimits().maxValueBytes();
    }
}
