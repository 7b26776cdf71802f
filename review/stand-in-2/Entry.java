import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the project, started with the command and the settings template of the deploy file. */
final class Entry {
    final String name;
    final int port;
    final int readyPort;
    final Path settings;
    private final Path log;
    private final Path root;
    Process process;

    /** Whether standard output is a pipe that this program reads, as a log collector does, and not a file. */
    boolean isLogPiped;
    volatile boolean isLogReaderStopped;

    /** Values of the placeholders of the template, those of the small deployment `pvk-tav`. */
    private final Map<String, String> values;

    Entry(Path root, Path folder, String name, int storePort) throws IOException {
        this.root = root;
        this.name = name;
        port = freePort();
        readyPort = freePort();
        settings = folder.resolve(name + ".properties");
        log = folder.resolve(name + ".log");
        values = new java.util.HashMap<>(Map.of(
            "nodeName", name, "zone", "pecs-kozpont", "ip", "127.0.0.1",
            "listen.front", "127.0.0.1:" + port, "listen.readyAddr", "127.0.0.1:" + readyPort,
            "internalPorts.0", String.valueOf(freePort()), "platform.address", "127.0.0.1:" + storePort
        ));
        values.putAll(Map.of(
            "bounds.retryBudgetRatio", "0.2", "bounds.retryAllowance", "52", "bounds.budgetWindowS", "10",
            "bounds.drainMs", "2000", "bounds.graceS", "8", "bounds.leaseMs", "3000"
        ));
        writeSettings();
    }

    void set(String placeholder, String value) {
        values.put(placeholder, value);
    }

    void writeSettings() throws IOException {
        Matcher placeholder = Pattern.compile("\\{\\{([^}]*)\\}\\}").matcher(Files.readString(root.resolve("deploy/entry.properties")));
        Files.writeString(settings, placeholder.replaceAll(found -> values.getOrDefault(found.group(1), "")));
    }

    Entry start() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new IOException("no command in the deploy file");
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("LOVAGELADDER_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        if (!isLogPiped) builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        if (isLogPiped) Http.daemon(this::collectLog);
        return this;
    }

    /** Collects the log from a pipe, but not while {@link #isLogReaderStopped}. */
    private void collectLog() {
        try (var in = process.getInputStream(); var out = Files.newOutputStream(log)) {
            byte[] buffer = new byte[8192];
            while (true) {
                while (isLogReaderStopped) Thread.sleep(5);
                int bytes = in.read(buffer);
                if (bytes < 0) return;
                out.write(buffer, 0, bytes);
            }
        } catch (IOException | InterruptedException ended) {
            // The process has ended.
        }
    }

    boolean isReady() {
        try {
            return Http.call(readyPort, "GET", "/readyz", "Host: x\r\n", "", 500).status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    void awaitReady(int seconds) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (!isReady()) {
            if (System.nanoTime() > until) throw new CannotRun(name + " is not ready");
            Thread.sleep(50);
        }
    }

    /** Sends the signal NAME (TERM, KILL, HUP, STOP, CONT) to the process. */
    void signal(String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).inheritIO().start().waitFor();
    }

    void end() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    List<String> log(String part) throws IOException {
        return Files.readAllLines(log).stream().filter(line -> line.contains(part)).toList();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }
}

/** The case cannot run here; this says nothing about the rule. */
final class CannotRun extends RuntimeException {
    CannotRun(String message) {
        super(message);
    }
}
