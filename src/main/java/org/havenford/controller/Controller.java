package org.havenford.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.havenford.coordination.agents.AgentContext;
import org.havenford.coordination.agents.AgentListener;
import org.havenford.coordination.agents.AgentManager;
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
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.storage.ClusterState;
import org.havenford.storage.ConditionalWriter;
import org.havenford.storage.StoreClient;
import org.havenford.storage.StoreLimits;
import org.havenford.storage.StoreReplica;
import org.havenford.storage.TransactionLimits;
import org.havenford.storage.records.Keys;
import org.havenford.transport.EventLoop;
import org.havenford.transport.HttpCalls;
import org.havenford.transport.HttpServer;
import org.havenford.transport.HttpServer.Request;
import org.havenford.transport.HttpServer.Response;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires the components of one controller together and dispatches events to them. Everything runs on the event loop. */
public final class Controller implements HttpServer.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(Controller.class);

    private final PlatformSettings settings;
    private final OperatorSettings operatorSettings;
    private final ProcessPauseDetector pauseDetector;
    private final EventLoop loop;
    private final HttpCalls calls;
    private final RoundTimer roundTimer;
    private final LinkMonitor linkMonitor;
    private final ClusterState clusterState;
    private final StoreClient store;
    private final StoreReplica replica;
    private final Membership membership;
    private final AgentManager agentManager;
    private final Scheduler scheduler;
    private final Provisioner provisioner;
    private final MemberEvictions evictions;
    private final StandbyAccess standbyAccess;
    private final HttpRouter router;
    private final ControllerStatistics statistics;

    /** Creates a controller, which does nothing until {@link #start} is called. */
    public Controller(
            EventLoop underlyingLoop,
            HttpCalls underlyingCalls,
            PlatformSettings settings,
            OperatorSettings operatorSettings) {
        this.settings = settings;
        this.operatorSettings = operatorSettings;
        pauseDetector = new ProcessPauseDetector(underlyingLoop, underlyingCalls, this::processPaused);
        loop = pauseDetector;
        roundTimer = new RoundTimer(loop, new RoundCallbacks());
        linkMonitor = new LinkMonitor(settings, loop);
        calls = linkMonitor.monitored(pauseDetector);

        clusterState = new ClusterState();
        store = createStoreClient();
        replica = new StoreReplica(loop, store, Keys.REPLICATED, clusterState);
        membership = createMembership();
        agentManager = createAgentManager();

        CoordinationContext context = createCoordinationContext();
        JobDependencies dependencies = new JobDependencies(context);
        scheduler = new Scheduler(context, operatorSettings, agentManager, dependencies);
        CloudClient cloudClient = new CloudClient(loop, calls, settings);
        provisioner = new Provisioner(
                new ProvisioningContext(context, cloudClient, operatorSettings, roundTimer::requestRound));
        evictions = new MemberEvictions(loop, store, replica, membership, settings.node());
        standbyAccess = new StandbyAccess(pauseDetector, store, clusterState, membership, evictions, agentManager);
        clusterState.setObserver(
                new ReplicaObserver(clusterState, membership, evictions, agentManager, scheduler, roundTimer));

        router = new HttpRouter(
                new JobApi(context, dependencies, roundTimer::requestRound),
                new HeartbeatEndpoint(loop, linkMonitor, agentManager),
                new HealthCheck(replica, membership, clusterState, linkMonitor));
        statistics = createStatistics(context.pipelineMetrics());
    }

    private StoreClient createStoreClient() {
        return new StoreClient(
                loop,
                calls,
                settings.storeAddress(),
                new StoreLimits(
                        settings.storeRequestsPerSecond(),
                        settings.storeWritesPerSecond(),
                        settings.nextStoreWritesPerSecond()),
                settings.peers().size() + 1);
    }

    private Membership createMembership() {
        return new Membership(
                loop,
                store,
                replica,
                new MembershipSettings(
                        settings.node(),
                        allNodes(settings),
                        MembershipLeaseDuration.choose(settings, operatorSettings),
                        operatorSettings.membershipLease()),
                new ControllerMembershipListener());
    }

    private AgentManager createAgentManager() {
        AgentContext context = new AgentContext(loop, settings, clusterState, replica, store, membership);
        return new AgentManager(context, calls, operatorSettings, new AgentObserver());
    }

    private CoordinationContext createCoordinationContext() {
        TransactionLimits transactionLimits =
                new TransactionLimits(settings.maxTransactionOperations(), settings.valueBytes());
        ConditionalWriter writer = new ConditionalWriter(
                loop, store, replica, settings.valueBytes(), transactionLimits, roundTimer::requestRound);
        return new CoordinationContext(
                loop,
                settings,
                new StoreAccess(store, replica, clusterState, transactionLimits, writer),
                membership,
                new FinalStateCache(loop, store, roundTimer::requestRound),
                new PipelineMetrics());
    }

    private ControllerStatistics createStatistics(PipelineMetrics pipelineMetrics) {
        List<ControllerStatistics.Section> sections = List.of(
                new ControllerStatistics.Section("store", () -> Optional.of(store.takeSummary())),
                new ControllerStatistics.Section("pipelines", () -> Optional.of(pipelineMetrics.takeSummary())),
                new ControllerStatistics.Section("decisions", () -> Optional.of(agentManager.takeDecisionSummary())),
                new ControllerStatistics.Section("links", () -> Optional.of(linkMonitor.summary())),
                new ControllerStatistics.Section("booting machines", () -> Optional.ofNullable(provisioner.summary())));
        return new ControllerStatistics(loop, scheduler, agentManager, clusterState, sections);
    }

    private static Set<String> allNodes(PlatformSettings settings) {
        Set<String> names = new TreeSet<>(Set.of(settings.node()));
        settings.peers().forEach(peer -> names.add(peer.node()));
        return names;
    }

    /** Starts to load the replica, to register as a member and to run rounds. */
    public void start() {
        replica.start();
        membership.start();
        roundTimer.start();
    }

    /** Returns the interface through which a standby in this process uses the controller. */
    public StandbyHost standbyHost() {
        return standbyAccess;
    }

    @Override
    public void handle(Request request, Consumer<Response> callback) {
        pauseDetector.eventStarted();
        Instant start = loop.now();
        router.handle(request, response -> {
            statistics.recordResponse(Duration.between(start, loop.now()));
            callback.accept(response);
        });
    }

    /**
     * Notifies the components that the process was paused while its clocks went on. Their state may be stale: other
     * controllers may have evicted this member and taken over its machines and jobs. This runs before any event that
     * arrived or became due during the pause is handled.
     */
    private void processPaused(Duration pause) {
        LOG.warn("process paused, knowledge from before is not acted on: seconds={}", pause.toMillis() / 1e3);
        linkMonitor.processPaused(pause);
        membership.processPaused();
        agentManager.processPaused(pause);
        scheduler.processPaused();
        provisioner.processPaused();
        standbyAccess.processPaused();
    }

    /** Forwards view changes to the components and provides membership with the number of owned machines. */
    private final class ControllerMembershipListener implements MembershipListener {
        @Override
        public void viewChanged() {
            agentManager.viewChanged();
            scheduler.invalidateAllMachines();
            evictions.viewChanged();
            standbyAccess.viewChanged();
        }

        @Override
        public int ownedMachineCount(String node) {
            return agentManager.ownedMachineCount(node);
        }
    }

    /** Forwards changes reported by agents to the scheduler and the round timer. */
    private final class AgentObserver implements AgentListener {
        @Override
        public void capacityChanged(String machine) {
            scheduler.invalidateMachine(machine);
        }

        @Override
        public void roundDue() {
            roundTimer.requestRound();
        }
    }

    /** Runs the steps of the components in rounds and at each tick. */
    private final class RoundCallbacks implements RoundTimer.Callbacks {
        @Override
        public void tickStarted(Duration delay) {
            statistics.recordTimerDelay(delay);
        }

        @Override
        public void runRound() {
            membership.step();
            agentManager.step();
            scheduler.step();
            agentManager.sendChangedCommands();
        }

        @Override
        public void runPeriodicTasks() {
            provisioner.step();
            linkMonitor.step(agentManager.expectsHeartbeats());
            statistics.logIfDue();
        }
    }
}
