import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** An entry: the command of deploy/system.toml with the settings of deploy/entry.properties, as a process of its own. */
final class Entry {
    /** The bounds of the small deployment pvk-tav, as its settings have them. */
    private static final Map<String, String> BOUNDS = Map.of("bounds.retryBudgetRatio", "0.2", "bounds.retryAllowance",
        "52", "bounds.budgetWindowS", "10", "bounds.drainMs", "2000", "bounds.graceS", "8", "bounds.leaseMs", "3000");
    private static final List<Entry> STARTED = new CopyOnWriteArrayList<>();

    final String name;
    final int port;
    private final int readyPort;
    private final Path folder;
    private final List<String> command;
    private Process process;

    Entry(String name, String zone, Store store) throws Exception {
        this.name = name;
        int[] ports = Rig.freePorts(2);
        port = ports[0];
        readyPort = ports[1];
        String settings = Files.readString(Path.of("deploy/entry.properties"));
        settings = settings.replace("{{nodeName}}", name).replace("{{zone}}", zone)
            .replace("{{listen.front}}", "127.0.0.1:" + port).replace("{{listen.readyAddr}}", "127.0.0.1:" + readyPort)
            .replace("{{platform.address}}", store.address());
        for (Map.Entry<String, String> bound : BOUNDS.entrySet()) {
            settings = settings.replace("{{" + bound.getKey() + "}}", bound.getValue());
        }
        if (settings.contains("{{")) throw new IllegalStateException("a field of deploy/entry.properties is unknown");
        command = commandOfDeployFile();
        folder = Files.createTempDirectory("review-entry");
        STARTED.add(this);
        Files.writeString(folder.resolve("entry.properties"), settings);
        start();
    }

    private static List<String> commandOfDeployFile() throws Exception {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (!line.startsWith("run = \"")) continue;
            return new ArrayList<>(List.of(line.substring(7, line.lastIndexOf('"')).split(" ")));
        }
        throw new IllegalStateException("deploy/system.toml has no command");
    }

    private void start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("LOVAGELADDER_SETTINGS", folder.resolve("entry.properties").toString());
        process = builder.start();
        Process started = process;
        Rig.record(name + ": started as process " + started.pid() + ", callers=" + port);
        Rig.thread(name + " output", () -> {
            try (BufferedReader lines = started.inputReader()) {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                    if (line.contains("REQUEST_") || line.contains("serving service=")) continue;
                    Rig.record(name + " log: " + line.replaceAll("^.*\"message\":\"", "").replaceAll("\"}$", ""));
                }
            }
        });
    }

    /** Waits until the entry says that it is ready, as the platform asks it. */
    void awaitReady() throws Exception {
        for (int tries = 0; tries < 150; tries++) {
            if (!process.isAlive()) throw new IllegalStateException(name + " ended");
            if (isReady()) {
                Rig.record(name + ": ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new IllegalStateException(name + " is not ready");
    }

    private boolean isReady() {
        try {
            return Client.call(readyPort, "GET", "/readyz", "", 500).status == 200;
        } catch (Exception notYet) {
            return false;
        }
    }

    static void endAll() {
        for (Entry entry : STARTED) {
            if (entry.process != null) entry.process.destroyForcibly();
        }
        for (Entry entry : STARTED) {
            try {
                if (entry.process != null) entry.process.waitFor(5, TimeUnit.SECONDS);
                Files.deleteIfExists(entry.folder.resolve("entry.properties"));
                Files.deleteIfExists(entry.folder);
            } catch (Exception ignored) {
                // The temporary folder may stay.
            }
        }
    }
}
