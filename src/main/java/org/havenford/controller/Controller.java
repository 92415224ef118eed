package org.havenford.controller;

import com.google.gson.JsonObject;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.havenford.coordination.agents.AgentContext;
import org.havenford.coordination.agents.AgentListener;
import org.havenford.coordination.agents.AgentManager;
import org.havenford.coordination.agents.HeartbeatResponse;
import org.havenford.coordination.failover.StandbyAccess;
import org.havenford.coordination.failover.StandbyHost;
import org.havenford.coordination.jobs.CoordinationContext;
import org.havenford.coordination.jobs.FinalStateCache;
import org.havenford.coordination.jobs.JobApi;
import org.havenford.coordination.jobs.JobDependencies;
import org.havenford.coordination.jobs.PipelineMetrics;
import org.havenford.coordination.jobs.StoreAccess;
import org.havenford.coordination.membership.MemberEvictions;
import org.havenford.coordination.membership.Membership;
import org.havenford.coordination.membership.MembershipListener;
import org.havenford.coordination.membership.MembershipSettings;
import org.havenford.coordination.monitoring.LinkMonitor;
import org.havenford.coordination.monitoring.ProcessPauseDetector;
import org.havenford.coordination.provisioning.CloudClient;
import org.havenford.coordination.provisioning.Provisioner;
import org.havenford.coordination.provisioning.ProvisioningContext;
import org.havenford.coordination.scheduling.Scheduler;
import org.havenford.protocol.Heartbeat;
import org.havenford.protocol.Json;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.ConditionalWriter;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreLimits;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.records.ClusterView;
import org.havenford.storage.records.Job;
import org.havenford.storage.records.Keys;
import org.havenford.storage.records.LivenessProbe;
import org.havenford.storage.records.MemberRegistration;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.havenford.transport.HttpServer;
import org.havenford.transport.HttpServer.Request;
import org.havenford.transport.HttpServer.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: puts the parts together, and runs their loops in rounds. All of it happens on the event loop. */
public final class Controller implements HttpServer.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration GATHER = Duration.ofMillis(4);
    private static final Duration BETWEEN_ROUNDS = Duration.ofMillis(50);
    /** Times as long as a round took that the next one waits: with a thousand machines it is answers that use the processor. */
    private static final int RESTS = 12;
    /** Time for a worker to hear of a cancellation, and for clocks that differ. */
    private static final Duration CANCEL_MARGIN = Duration.ofSeconds(6);

    private static final Duration STATISTICS_INTERVAL = Duration.ofSeconds(60);

    private final EventLoop loop;
    private final ProcessPauseDetector pauseDetector;
    private final LinkMonitor links;
    private final ClusterState clusterState = new ClusterState();
    private final StoreClient store;
    private final StoreReplica replica;
    private final Membership membership;
    private final AgentManager agentManager;
    private final Scheduler scheduler;
    private final Provisioner provisioner;
    private final JobApi jobApi;
    private final MemberEvictions evictions;
    private final StandbyAccess standbyAccess;
    private final PipelineMetrics pipelineMetrics = new PipelineMetrics();
    private final Histogram answerMicros = new Histogram(60_000_000L, 2);
    private final Histogram lagMicros = new Histogram(60_000_000L, 2);
    private boolean roundDue;
    private Instant restUntil = Instant.MIN;
    private Instant nextStatistics;
    private Instant lastWarning = Instant.MIN;

    /** Puts a controller together; nothing happens before {@link #start}. */
    public Controller(
            EventLoop outerLoop, HttpCalls outerCalls, PlatformSettings settings, OperatorSettings operatorSettings) {
        pauseDetector = new ProcessPauseDetector(outerLoop, outerCalls, this::processPaused);
        loop = pauseDetector;
        links = new LinkMonitor(settings, loop);
        HttpCalls calls = links.watching(pauseDetector);
        store = new StoreClient(
                loop,
                calls,
                settings.stateAddress(),
                new StoreLimits(settings.stateRps(), settings.stateWriteRps(), settings.nextWriteRps()),
                settings.peers().size() + 1);
        replica = new StoreReplica(loop, store, Keys.REPLICATED, clusterState);
        membership = new Membership(
                loop,
                store,
                replica,
                new MembershipSettings(settings.node(), nodes(settings), membershipLife(settings, operatorSettings)),
                membershipListener());
        AgentContext agentContext = new AgentContext(loop, settings, clusterState, replica, store, membership);
        agentManager = new AgentManager(agentContext, calls, operatorSettings, new AgentListener() {
            @Override
            public void capacityChanged(String machine) {
                scheduler.machineChanged(machine);
            }

            @Override
            public void roundDue() {
                wake();
            }
        });
        ConditionalWriter writer = new ConditionalWriter(loop, store, replica, settings.valueBytes(), this::wake);
        FinalStateCache finalStates = new FinalStateCache(loop, store, this::wake);
        CoordinationContext context = new CoordinationContext(
                loop,
                settings,
                new StoreAccess(store, replica, clusterState, writer),
                membership,
                finalStates,
                pipelineMetrics);
        JobDependencies dependencies = new JobDependencies(context);
        scheduler = new Scheduler(context, operatorSettings, agentManager, dependencies);
        CloudClient cloudClient = new CloudClient(loop, calls, settings);
        provisioner = new Provisioner(new ProvisioningContext(context, cloudClient, operatorSettings, this::wake));
        jobApi = new JobApi(context, dependencies, this::wake);
        evictions = new MemberEvictions(loop, store, replica, membership, settings.node());
        standbyAccess = new StandbyAccess(pauseDetector, store, clusterState, membership, evictions, agentManager);
        clusterState.setObserver(new ClusterState.Observer() {
            @Override
            public void viewChanged(ClusterView view, long modRevision) {
                membership.viewChanged(view, modRevision);
            }

            @Override
            public void memberChanged(String node, MemberRegistration registration, long modRevision) {
                membership.memberChanged(node, registration, modRevision);
            }

            @Override
            public void livenessProbeChanged(String node, LivenessProbe probe, long modRevision) {
                evictions.livenessProbeChanged(node, probe, modRevision);
            }

            @Override
            public void machineChanged(String machine) {
                agentManager.machineChanged(machine);
                scheduler.machineChanged(machine);
            }

            @Override
            public void changesApplied() {
                wake();
            }

            @Override
            public void jobEnded(Job last) {
                agentManager.jobEnded(last);
                scheduler.jobEnded(last);
            }

            @Override
            public void loaded() {
                LOG.info(
                        "the store has been read: {} jobs, {} machines",
                        clusterState.jobs().size(),
                        clusterState.machines().size());
            }
        });
        nextStatistics = loop.now().plus(STATISTICS_INTERVAL);
    }

    /**
     * A silent task must be gone within the time for cancellations, even if its owner can't be reached: an owner cut
     * off may renew the worker's lease until its own ends.
     */
    static Duration membershipLife(PlatformSettings settings, OperatorSettings operatorSettings) {
        Duration most =
                settings.cancellationLimit().minus(settings.workerLease()).minus(CANCEL_MARGIN);
        Duration life = operatorSettings.membershipLease();
        return life.compareTo(most) > 0 && most.compareTo(Duration.ofSeconds(2)) > 0 ? most : life;
    }

    private static Set<String> nodes(PlatformSettings settings) {
        Set<String> all = new TreeSet<>(Set.of(settings.node()));
        settings.peers().forEach(p -> all.add(p.node()));
        return all;
    }

    /** Begins to read the store, to register, and to decide. */
    public void start() {
        replica.start();
        membership.start();
        tick();
    }

    /** What a standby in this process sees of the controller, and may ask of it. */
    public StandbyHost standbyHost() {
        return standbyAccess;
    }

    private void viewChanged() {
        agentManager.viewChanged();
        scheduler.allChanged();
        evictions.viewChanged();
        standbyAccess.viewChanged();
    }

    private MembershipListener membershipListener() {
        return new MembershipListener() {
            @Override
            public void viewChanged() {
                Controller.this.viewChanged();
            }

            @Override
            public int ownedMachines(String node) {
                return agentManager.ownedBy(node);
            }
        };
    }

    /**
     * This process has stood still while its clocks went on. What it knew before is old: others may have taken its place, its
     * machines and its work. It is told here before anything that came or was due meanwhile is handled.
     */
    private void processPaused(Duration pause) {
        LOG.warn("stood still for {} s: nothing is decided on what was known before", pause.toMillis() / 1e3);
        links.processPaused(pause);
        membership.processPaused();
        agentManager.processPaused(pause);
        scheduler.processPaused();
        provisioner.processPaused();
        standbyAccess.processPaused();
    }

    private void tick() {
        Instant due = loop.now().plus(TICK);
        loop.after(TICK, () -> {
            lagMicros.recordValue(Math.max(
                    0, Math.min(60_000_000L, Duration.between(due, loop.now()).toNanos() / 1000)));
            tick();
            round();
            provisioner.step();
            links.step(agentManager.expectsHeartbeats());
            logStatistics();
        });
    }

    /** Asks for a round soon; what comes in together is decided together, and rounds leave most of the time to answers. */
    private void wake() {
        if (!roundDue) {
            roundDue = true;
            Duration rest = Duration.between(loop.now(), restUntil);
            loop.after(rest.compareTo(GATHER) > 0 ? rest : GATHER, () -> {
                if (roundDue) {
                    round();
                }
            });
        }
    }

    private void round() {
        roundDue = false;
        Instant start = loop.now();
        membership.step();
        agentManager.step();
        scheduler.step();
        agentManager.sendChangedCommands();
        Instant end = loop.now();
        restUntil =
                end.plusNanos(Duration.between(start, end).toNanos() * RESTS).plus(BETWEEN_ROUNDS);
    }

    private void logStatistics() {
        if (loop.now().isBefore(nextStatistics)) {
            return;
        }
        nextStatistics = loop.now().plus(STATISTICS_INTERVAL);
        Histogram rounds = scheduler.roundMicros();
        LOG.info(
                "rounds {} (p50 {} us, p99 {} us), answers {} (p50 {} us, p99 {} us), timers late p99 {} us, late tasks {}, "
                        + "jobs {}, machines {}, memory {} MB",
                rounds.getTotalCount(),
                rounds.getValueAtPercentile(50),
                rounds.getValueAtPercentile(99),
                answerMicros.getTotalCount(),
                answerMicros.getValueAtPercentile(50),
                answerMicros.getValueAtPercentile(99),
                lagMicros.getValueAtPercentile(99),
                agentManager.stragglerStops(),
                clusterState.jobs().size(),
                clusterState.machines().size(),
                (Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory()) >> 20);
        LOG.info("store: {}", store.statistics());
        LOG.info("pipelines: {}", pipelineMetrics.summary());
        LOG.info("links: {}", links.summary());
        String machinesThatBoot = provisioner.summary();
        if (machinesThatBoot != null) {
            LOG.info("machines that boot: {}", machinesThatBoot);
        }
        rounds.reset();
        answerMicros.reset();
        lagMicros.reset();
    }

    // ---- requests

    @Override
    public void handle(Request request, Consumer<Response> answer) {
        pauseDetector.eventStarted();
        Instant start = loop.now();
        route(request, response -> {
            answerMicros.recordValue(Math.max(
                    0, Math.min(60_000_000L, Duration.between(start, loop.now()).toNanos() / 1000)));
            answer.accept(response);
        });
    }

    private void route(Request request, Consumer<Response> answer) {
        String path = request.path();
        boolean post = request.method().equals("POST");
        boolean get = request.method().equals("GET");
        if (path.equals("/checkin") && post) {
            answer.accept(checkin(request.body()));
        } else if (path.equals("/healthz") && get) {
            answer.accept(health());
        } else if (path.equals("/submissions") && post) {
            jobApi.submit(request.body(), answer);
        } else if (path.startsWith("/submissions/")) {
            String rest = path.substring("/submissions/".length());
            if (post && rest.endsWith("/abort")) {
                jobApi.cancel(rest.substring(0, rest.length() - "/abort".length()), answer);
            } else if (get) {
                jobApi.get(rest, answer);
            } else {
                answer.accept(Response.of(405, "{\"error\":\"method not allowed\"}"));
            }
        } else {
            answer.accept(Response.of(404, "{\"error\":\"no such path\"}"));
        }
    }

    /** Whether requests can be taken; for operators, the reason if not, and which links are lost since when. */
    private Response health() {
        String reason = null;
        if (!replica.loaded()) {
            reason = "the state service has not been read";
        } else if (!membership.holdsLease()) {
            reason = "the membership lease is over";
        } else if (clusterState.types().isEmpty()) {
            reason = "the machine types are not known";
        }
        JsonObject body = new JsonObject();
        body.addProperty("ready", reason == null);
        if (reason != null) {
            body.addProperty("reason", reason);
        }
        body.add("lostLinks", links.toJson());
        return Response.of(reason == null ? 200 : 503, body.toString());
    }

    private Response checkin(byte[] body) {
        links.heartbeatArrived();
        try {
            if (body == null) {
                throw new Json.BadMessage("too large or incomplete");
            }
            HeartbeatResponse response = agentManager.handleHeartbeat(
                    Heartbeat.parse(Json.object(new String(body, StandardCharsets.UTF_8))));
            return Response.of(response.status(), response.body());
        } catch (Json.BadMessage e) {
            if (loop.now().isAfter(lastWarning.plusSeconds(10))) {
                lastWarning = loop.now();
                LOG.warn("a report can't be read: {}", e.getMessage());
            }
            return Response.of(400, "{\"error\":\"not a report\"}");
        }
    }
}
