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
 * The file that the platform hands over. Unknown fields are ignored. The state service's limits may be lowered to those of
 * {@code state.next} at any moment: sizes are the smaller of both, {@code presentValueBytes} is what holds until then.
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
        double storeChangesPerSecond,
        double nextStoreChangesPerSecond,
        int valueBytes,
        int presentValueBytes,
        int maxTransactionOperations,
        double cloudRequestsPerSecond,
        Duration cloudListLag,
        int maxConnections,
        List<ServiceObjective> objectives) {

    /** Changes a second and controller below which records are made as large, and releases gathered as long, as can be. */
    private static final double SCARCE = 6;

    /** Another controller of the same deployment. */
    public record Peer(String node, String zone, String address) {}

    /** An aim of a class of jobs; {@code within} is null for deadlines, which every job brings itself. */
    public record ServiceObjective(String kind, String jobClass, Duration within) {}

    /** A team's share; a limit of 0 means none. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {
        /** Whether the team has a limit. */
        public boolean limited() {
            return cpusMax > 0 || gpusMax > 0;
        }
    }

    /** Whether each controller's part of the changes that the state service takes, now or later, is so small that each must do much. */
    public boolean scarceChanges() {
        return nextStoreChangesPerSecond / (peers.size() + 1) < SCARCE;
    }

    /** Reads and checks a settings file. */
    public static PlatformSettings read(Path file) throws IOException, MalformedMessageException {
        return parse(Files.readString(file));
    }

    /** Reads and checks settings. */
    public static PlatformSettings parse(String text) throws MalformedMessageException {
        return new PlatformSettingsReader(Json.object(text)).read();
    }
}
