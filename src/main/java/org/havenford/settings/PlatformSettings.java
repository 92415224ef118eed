package org.havenford.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.havenford.protocol.Json;
import org.havenford.protocol.MalformedMessageException;

/**
 * The platform's settings of a controller and its deployment. Unknown fields of the file are ignored. The limits of the
 * store may be lowered to those announced in {@code state.next} at any time.
 *
 * @param heartbeatInterval how often agents send a heartbeat
 * @param agentLease how long an agent runs its tasks without an answer from its owner
 * @param cancellationLimit the time within which a cancelled task must have stopped
 * @param storeRequestsPerSecond the current rate limit for requests to the store
 * @param storeWritesPerSecond the current rate limit for operations of transactions
 * @param nextStoreWritesPerSecond the smaller of the current and the announced rate limit for operations of
 *     transactions
 * @param valueBytes the smaller of the current and the announced size limit of a value
 * @param currentValueBytes the current size limit of a value
 * @param maxTransactionOperations the smaller of the current and the announced limit of operations in a transaction,
 *     but at least what a claim needs
 * @param cloudListLag how long the cloud's list of machines may lag behind
 */
public record PlatformSettings(
        String node,
        String zone,
        String bind,
        String peerListen,
        List<Peer> peers,
        String cloudAddress,
        String storeAddress,
        Map<String, Team> teams,
        Duration heartbeatInterval,
        Duration agentLease,
        Duration cancellationLimit,
        double storeRequestsPerSecond,
        double storeWritesPerSecond,
        double nextStoreWritesPerSecond,
        int valueBytes,
        int currentValueBytes,
        int maxTransactionOperations,
        double cloudRequestsPerSecond,
        Duration cloudListLag,
        int maxConnections,
        List<ServiceObjective> objectives) {

    /**
     * Operations per second and controller below which task ranges are made larger and releases are batched for longer.
     */
    private static final double SCARCE_WRITES_THRESHOLD = 6;

    /** Another controller of the same deployment. */
    public record Peer(String node, String zone, String address) {}

    /**
     * A service-level objective of a class of jobs; {@code within} is null for deadlines, which are set by each job.
     */
    public record ServiceObjective(String kind, String jobClass, Duration within) {}

    /** The guaranteed resources and the limits of a team; a limit of 0 means that there is none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Returns whether the team has a limit. */
        public boolean isLimited() {
            return cpusMax > 0 || gpusMax > 0;
        }
    }

    /**
     * Returns whether each controller's part of the store's rate limit for operations, current or announced, is so
     * small that each operation should cover as many tasks as possible.
     */
    public boolean hasScarceWrites() {
        return nextStoreWritesPerSecond / (peers.size() + 1) < SCARCE_WRITES_THRESHOLD;
    }

    /** Reads and validates a settings file. */
    public static PlatformSettings read(Path file) throws IOException, MalformedMessageException {
        return parse(Files.readString(file));
    }

    /** Parses and validates settings. */
    public static PlatformSettings parse(String text) throws MalformedMessageException {
        return new PlatformSettingsReader(Json.object(text)).read();
    }
}
