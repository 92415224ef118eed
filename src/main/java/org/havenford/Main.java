package org.havenford;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
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
    private static final int FAILED = 1;

    private Main() {}

    /** Starts a controller, or runs the action that the options select and exits with its code. */
    public static void main(String[] args) {
        logging(System.getenv());
        int code = commandLine().execute(args);
        if (code >= 0) {
            System.exit(code);
        }
    }

    private static void logging(Map<String, String> env) {
        String level = env.getOrDefault("LOG_LEVEL", "info");
        boolean known = level.equals("error") || level.equals("info") || level.equals("debug");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", known ? level : "info");
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
                .description(
                        "start without a deployment, load all classes for the class-data-sharing archive and exit")
                .build());
        spec.addOption(OptionSpec.builder("-h", "--help")
                .usageHelp(true)
                .description("show this help")
                .build());
        spec.addOption(OptionSpec.builder("--version")
                .versionHelp(true)
                .description("show the version")
                .build());
        CommandLine line = new CommandLine(spec);
        line.setExecutionStrategy(Main::run);
        return line;
    }

    private static int run(ParseResult parsed) {
        Integer help = CommandLine.executeHelpRequest(parsed);
        if (help != null) {
            return help;
        }
        if (parsed.hasMatchedOption("--rehearse")) {
            return ClassDataSharingWarmUp.run();
        }
        Path file = parsed.matchedOptionValue("--config", (Path) null);
        if (file == null) {
            System.err.println("havenford: required option --config FILE is missing");
            CommandLine.usage(parsed.commandSpec(), System.err);
            return 2;
        }
        try {
            PlatformSettings settings = PlatformSettings.read(file);
            Path operatorFile = parsed.matchedOptionValue("--operator", (Path) null);
            OperatorSettings operatorSettings =
                    operatorFile == null ? OperatorSettings.DEFAULTS : OperatorSettings.read(operatorFile);
            serve(settings, operatorSettings);
            return -1;
        } catch (NoSuchFileException e) {
            return fail("settings file does not exist: " + e.getMessage());
        } catch (IOException e) {
            return fail("I/O error at startup: " + e);
        } catch (MalformedMessageException e) {
            return fail(file + ": " + e.getMessage());
        } catch (OperatorSettings.InvalidSettingException e) {
            return fail("invalid operator settings: " + e.getMessage());
        } catch (RuntimeException e) {
            return fail("cannot listen on the address of bind or cluster_listen: " + e.getMessage());
        }
    }

    private static int fail(String why) {
        System.err.println("havenford: " + why);
        return FAILED;
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
        CompletableFuture<Void> built = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                build(worker, settings, operatorSettings);
                built.complete(null);
            } catch (RuntimeException e) {
                built.completeExceptionally(e);
            }
        });
        built.join();
    }

    private static void build(XnioWorker worker, PlatformSettings settings, OperatorSettings operatorSettings) {
        XnioLoop loop = new XnioLoop(worker.getIoThread());
        DefaultByteBufferPool buffers = new DefaultByteBufferPool(false, 8 * 1024, 64, 0);
        // Inbound connections take precedence over outbound ones: if the other controllers are down, all agents and
        // users connect to this one, and commands also reach agents in heartbeat responses. Some connections are
        // reserved for calls to the store and the cloud.
        HttpServer[] server = new HttpServer[1];
        int most = settings.maxConnections();
        int kept = Math.max(20, Math.min(60, most / 20));
        HttpClient client = new HttpClient(
                loop,
                buffers,
                () -> Math.max(kept, Math.min(most / 2, most - kept - (server[0] == null ? 0 : server[0].open()))));
        Controller controller = new Controller(loop, client, settings, operatorSettings);
        int colon = settings.bind().lastIndexOf(':');
        server[0] = new HttpServer(
                worker,
                settings.bind().substring(0, colon),
                Integer.parseInt(settings.bind().substring(colon + 1)),
                Math.max(50, most - 2 * kept),
                controller);
        server[0].start();
        if (operatorSettings.standby().enabled() && !settings.peers().isEmpty()) {
            XnioPeerNetwork peers = new XnioPeerNetwork(worker, loop);
            new WarmStandby(controller.standbyHost(), peers, settings, operatorSettings.standby()).start();
        }
        LoggerFactory.getLogger(Main.class).info("{} serves on {}", settings.node(), settings.bind());
        controller.start();
    }
}
