package org.havenford;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.havenford.controller.Controller;
import org.havenford.protocol.MalformedMessageException;
import org.havenford.settings.OperatorSettings;
import org.havenford.settings.PlatformSettings;
import org.havenford.standby.WarmStandby;
import org.havenford.transport.HttpClient;
import org.havenford.transport.HttpServer;
import org.havenford.transport.XnioLoop;
import org.havenford.transport.XnioPeerNetwork;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;
import picocli.CommandLine.ParseResult;

/** Entry point and command line of the controller. */
public final class Main {
    private static final int EXIT_FAILURE = 1;

    private Main() {}

    /** Starts a controller, or runs the action that the options select and exits with its code. */
    public static void main(String[] args) {
        configureLogging(System.getenv());
        int exitCode = commandLine().execute(args);
        if (exitCode >= 0) {
            System.exit(exitCode);
        }
    }

    private static void configureLogging(Map<String, String> environment) {
        String level = environment.getOrDefault("LOG_LEVEL", "info");
        boolean isKnown = level.equals("error") || level.equals("info") || level.equals("debug");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", isKnown ? level : "info");
        System.setProperty("org.slf4j.simpleLogger.showDateTime", "true");
        System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        for (String library : new String[] {"io.undertow", "org.xnio", "org.jboss"}) {
            System.setProperty("org.slf4j.simpleLogger.log." + library, "error");
        }
        System.setProperty("org.jboss.logging.provider", "slf4j");
    }

    /** Declares the options in code, because reading annotations by reflection would lengthen every start. */
    private static CommandLine commandLine() {
        CommandSpec spec = CommandSpec.create().name("havenford");
        String version = Main.class.getPackage().getImplementationVersion();
        spec.version("havenford " + (version == null ? "(not packaged)" : version));
        spec.usageMessage().description("A controller of the havenford cluster scheduler.");
        spec.addOption(OptionSpec.builder("--config")
                .paramLabel("FILE")
                .type(Path.class)
                .description("platform settings (JSON), required")
                .build());
        spec.addOption(OptionSpec.builder("--operator")
                .paramLabel("FILE")
                .type(Path.class)
                .description("operator settings (XML), see docs/operations.md")
                .build());
        spec.addOption(OptionSpec.builder("--rehearse")
                .type(boolean.class)
                .arity("0")
                .hidden(true)
                .description("start without a deployment, load all classes for the class-data-sharing archive and exit")
                .build());
        spec.addOption(OptionSpec.builder("-h", "--help")
                .usageHelp(true)
                .description("show this help")
                .build());
        spec.addOption(OptionSpec.builder("--version")
                .versionHelp(true)
                .description("show the version")
                .build());
        CommandLine commandLine = new CommandLine(spec);
        commandLine.setExecutionStrategy(Main::run);
        return commandLine;
    }

    private static int run(ParseResult parseResult) {
        Integer helpExitCode = CommandLine.executeHelpRequest(parseResult);
        if (helpExitCode != null) {
            return helpExitCode;
        }
        if (parseResult.hasMatchedOption("--rehearse")) {
            return ClassDataSharingWarmUp.run();
        }
        Path configFile = parseResult.matchedOptionValue("--config", (Path) null);
        if (configFile == null) {
            System.err.println("havenford: required option --config FILE is missing");
            CommandLine.usage(parseResult.commandSpec(), System.err);
            return 2;
        }
        try {
            PlatformSettings settings = PlatformSettings.read(configFile);
            Path operatorFile = parseResult.matchedOptionValue("--operator", (Path) null);
            OperatorSettings operatorSettings =
                    operatorFile == null ? OperatorSettings.DEFAULTS : OperatorSettings.read(operatorFile);
            serve(settings, operatorSettings);
            return -1;
        } catch (NoSuchFileException e) {
            return fail("settings file does not exist: " + e.getMessage());
        } catch (IOException e) {
            return fail("I/O error at startup: " + e);
        } catch (MalformedMessageException e) {
            return fail(configFile + ": " + e.getMessage());
        } catch (OperatorSettings.InvalidSettingException e) {
            return fail("invalid operator settings: " + e.getMessage());
        } catch (RuntimeException e) {
            return fail("cannot listen on the address of bind or cluster_listen: " + e.getMessage());
        }
    }

    private static int fail(String message) {
        System.err.println("havenford: " + message);
        return EXIT_FAILURE;
    }

    /**
     * Starts the single event-loop thread, on which all components are created and started. The calling thread only
     * waits for it: class loading in two threads at the same time has crashed the process in read(), see
     * docs/incidents/start-crash.md.
     */
    static void serve(PlatformSettings settings, OperatorSettings operatorSettings) throws IOException {
        XnioWorker worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, 1024L * 1024)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        CompletableFuture<Void> started = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                startController(worker, settings, operatorSettings);
                started.complete(null);
            } catch (RuntimeException e) {
                started.completeExceptionally(e);
            }
        });
        started.join();
    }

    private static void startController(
            XnioWorker worker, PlatformSettings settings, OperatorSettings operatorSettings) {
        XnioLoop loop = new XnioLoop(worker.getIoThread());
        DefaultByteBufferPool bufferPool = new DefaultByteBufferPool(false, 8 * 1024, 64, 0);
        // Inbound connections take precedence over outbound ones: if the other controllers are down, all agents and
        // users connect to this one, and commands also reach agents in heartbeat responses. Some connections are
        // reserved for calls to the store and the cloud.
        HttpServer[] serverHolder = new HttpServer[1];
        int maxConnections = settings.maxConnections();
        int reservedConnections = Math.max(20, Math.min(60, maxConnections / 20));
        HttpClient client = new HttpClient(
                loop,
                bufferPool,
                () -> Math.max(
                        reservedConnections,
                        Math.min(
                                maxConnections / 2,
                                maxConnections
                                        - reservedConnections
                                        - (serverHolder[0] == null ? 0 : serverHolder[0].openConnections()))));
        Controller controller = new Controller(loop, client, settings, operatorSettings);
        int colon = settings.bind().lastIndexOf(':');
        InetSocketAddress address = InetSocketAddress.createUnresolved(
                settings.bind().substring(0, colon),
                Integer.parseInt(settings.bind().substring(colon + 1)));
        serverHolder[0] =
                new HttpServer(loop, address, Math.max(50, maxConnections - 2 * reservedConnections), controller);
        serverHolder[0].start();
        if (operatorSettings.standby().enabled() && !settings.peers().isEmpty()) {
            XnioPeerNetwork peerNetwork = new XnioPeerNetwork(worker, loop);
            new WarmStandby(controller.standbyHost(), peerNetwork, settings, operatorSettings.standby()).start();
        }
        LoggerFactory.getLogger(Main.class).info("{} serves on {}", settings.node(), settings.bind());
        controller.start();
    }
}
