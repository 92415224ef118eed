package org.havenford.simulator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.havenford.Main;

/** A controller in a process of its own, which a test can start, kill, suspend and resume. */
final class ControllerProcess {
    private final Path settingsFile;
    private final Path operatorSettingsFile;
    private final Path logFile;
    private Process process;

    /** Writes the settings files to a directory, which also receives the log; does not start the process. */
    ControllerProcess(Path directory, String node, String settingsJson, String operatorXml) throws IOException {
        settingsFile = Files.writeString(directory.resolve(node + ".json"), settingsJson);
        operatorSettingsFile = Files.writeString(directory.resolve(node + ".xml"), operatorXml);
        logFile = directory.resolve(node + ".log");
    }

    /**
     * Starts the process, with the class path of this test; its output is appended to the log file. The default charset
     * is that of a system without a locale, as nothing may depend on it.
     */
    void start() throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Dfile.encoding=US-ASCII",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "--operator",
                operatorSettingsFile.toString(),
                "--config",
                settingsFile.toString()));
        process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
                .start();
    }

    /** Kills the process with SIGKILL, also if it is suspended, and waits for its end. */
    void kill() throws IOException {
        signal("CONT");
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Suspends the process with SIGSTOP. */
    void suspend() throws IOException {
        signal("STOP");
    }

    /** Resumes a suspended process with SIGCONT. */
    void resume() throws IOException {
        signal("CONT");
    }

    private void signal(String name) throws IOException {
        if (process.isAlive()) {
            try {
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns what the process has logged so far. */
    String log() throws IOException {
        return Files.exists(logFile) ? Files.readString(logFile) : "";
    }
}
