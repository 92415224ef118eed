import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** A small deployment: controllers as separate processes, and the stand-ins around them. */
final class Site implements AutoCloseable {
    /** One controller process. */
    final class Controller {
        final int number;
        final String node;
        final Path settings;
        private Process process;

        private Controller(int number) {
            this.number = number;
            this.node = Config.nodeName(number);
            this.settings = directory.resolve(node + ".json");
        }

        void write(Config current) throws IOException {
            JsonObject json = current.settings(number, bindList, peerList, cloudAddress, stateAddresses.get(node));
            Files.writeString(settings, json.toString());
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(List.of(runLine.split(" ")));
            if (operatorFiles.containsKey(node)) {
                command.set(command.indexOf("--operator") + 1, operatorFiles.get(node).toString());
            }
            command.add(settings.toString());
            process = new ProcessBuilder(command)
                    .directory(root.toFile())
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve(node + ".log").toFile()))
                    .start();
            world.record("CONTROLLER %s started, process %d", node, process.pid());
        }

        /** Ends the process without a signal that it could handle. */
        void kill() throws IOException {
            signal("CONT");
            process.destroyForcibly();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            world.record("CONTROLLER %s killed", node);
        }

        void signal(String name) throws IOException {
            if (process != null && process.isAlive()) {
                try {
                    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                if (!name.equals("CONT")) {
                    world.record("CONTROLLER %s gets %s", node, name);
                }
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        String log() throws IOException {
            return Files.readString(directory.resolve(node + ".log"));
        }
    }

    /** Exit code of a run that broke a rule; run.sh turns it into 1, which is also that of a program that fails. */
    private static final int RULE_BROKEN = 10;

    final World world;
    final Config config;
    final Web web;
    final Rules rules;
    final Users users;
    final StateService state;
    final Cloud cloud;
    final Map<String, Controller> controllers = new LinkedHashMap<>();
    final List<Worker> workers = new ArrayList<>();
    /** Operators' files that replace the one of the deploy file, by controller. */
    final Map<String, Path> operatorFiles = new LinkedHashMap<>();
    final Path directory;
    private final Path root;
    private final String runLine;
    private final List<String> bindList = new ArrayList<>();
    private final List<String> peerList = new ArrayList<>();
    private final Map<String, String> stateAddresses = new LinkedHashMap<>();
    private final String cloudAddress;

    /** Prepares the site; arguments: the repository's root, the folder of the case. */
    Site(String[] arguments, Config config) throws IOException {
        root = Path.of(arguments[0]).toAbsolutePath();
        directory = Files.createTempDirectory("review");
        this.config = config;
        world = new World(Path.of(arguments[1]).resolve("record.txt"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        runLine = Files.readAllLines(root.resolve("deploy/service.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        if (!Files.exists(root.resolve("target/havenford.jar")) || !Files.exists(root.resolve("target/havenford.jsa"))) {
            throw new IOException("target/havenford.jar and target/havenford.jsa are made by the build of the deploy file");
        }
        web = new Web(world);
        rules = new Rules(world, config);
        state = new StateService(world, config);
        cloud = new Cloud(world, config);
        cloudAddress = cloud.serve(web);
        Map<String, String> binds = new LinkedHashMap<>();
        for (int i = 0; i < config.nodes; i++) {
            bindList.add("127.0.0.1:" + Web.reservePort());
            peerList.add("127.0.0.1:" + Web.reservePort());
            binds.put(Config.nodeName(i), bindList.get(i));
            stateAddresses.put(Config.nodeName(i), state.serve(web, Config.nodeName(i)));
        }
        users = new Users(world, web, rules, binds);
        users.cancelS = config.cancelS;
        cloud.setStarter((name, zone, spot) -> {
            Worker worker = new Worker(world, config, web, users, rules, binds, name, zone, spot, name.hashCode());
            workers.add(worker);
            return worker;
        });
        for (int i = 0; i < config.nodes; i++) {
            controllers.put(Config.nodeName(i), new Controller(i));
        }
    }

    /** Starts all controllers with the same settings, and machines that are up already: a number for each zone, or for all. */
    void start(int... machines) throws IOException {
        for (Controller controller : controllers.values()) {
            controller.write(config);
        }
        Web.releasePorts();
        for (Controller controller : controllers.values()) {
            controller.start();
        }
        for (int zone = config.zones.size() - 1; zone >= 0; zone--) {
            int count = machines.length == 1 ? machines[0] : machines[zone];
            cloud.capacity.put(config.zones.get(zone), count);
            for (int i = 0; i < count; i++) {
                cloud.add(config.zones.get(zone));
            }
        }
    }

    Controller controller(int number) {
        return controllers.get(Config.nodeName(number));
    }

    /** Waits until a condition holds; returns whether it did in time. */
    boolean await(double seconds, java.util.function.BooleanSupplier condition) {
        double end = world.now() + seconds;
        while (world.now() < end) {
            synchronized (world) {
                if (condition.getAsBoolean()) {
                    return true;
                }
            }
            World.sleep(0.05);
        }
        return false;
    }

    /** Waits until all controllers serve; ends the run with exit code 2 otherwise. */
    void awaitHealthy(double seconds) {
        if (!await(seconds, () -> users.healthyNodes() == config.nodes)) {
            cannotRun("not all controllers serve after " + seconds + " s");
        }
    }

    /** Names of all controllers. */
    Set<String> nodes() {
        return new TreeSet<>(controllers.keySet());
    }

    void cannotRun(String why) {
        world.say("CANNOT RUN: %s", why);
        exit(2);
    }

    /** Ends the run: whether the rule of the case was broken decides alone; other reports stay in the record. */
    void finish(String rule) {
        long count = rules.broken.stream().filter(report -> report.startsWith(rule + ":")).count();
        world.say("%d starts, %s broken %d times, %d other reports", rules.starts, rule, count, rules.broken.size() - count);
        exit(count == 0 ? 0 : RULE_BROKEN);
    }

    private void exit(int code) {
        world.record("exit code %d", code);
        close();
        Runtime.getRuntime().halt(code);
    }

    private void killAll() {
        for (Controller controller : controllers.values()) {
            if (controller.process != null) {
                controller.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() {
        killAll();
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(directory)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            } catch (IOException e) {
                world.record("cannot delete the temporary folder: %s", e);
            }
        } else {
            System.out.println("logs are kept in " + directory);
        }
    }
}
