import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry, started by the command of the deploy file with settings filled in from its template. */
final class Entry implements AutoCloseable {
    final String name;
    final int port;
    final int admin;
    final Process process;

    Entry(String name, String zone, int storePort, Path folder) throws Exception {
        this.name = name;
        port = Http.freePort();
        admin = Http.freePort();
        Map<String, String> values = Map.ofEntries(
            Map.entry("nodeName", name),
            Map.entry("zone", zone),
            Map.entry("listen.front", Http.LOOPBACK + ":" + port),
            Map.entry("listen.readyAddr", Http.LOOPBACK + ":" + admin),
            Map.entry("ip", Http.LOOPBACK),
            Map.entry("internalPorts.0", "" + Http.freePort()),
            Map.entry("platform.address", Http.LOOPBACK + ":" + storePort),
            Map.entry("bounds.retryBudgetRatio", "0.2"),
            Map.entry("bounds.retryAllowance", "52"),
            Map.entry("bounds.budgetWindowS", "10"),
            Map.entry("bounds.drainMs", "2000"),
            Map.entry("bounds.graceS", "8"),
            Map.entry("bounds.leaseMs", "3000"));
        Path settings = folder.resolve(name + ".properties");
        Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(Files.readString(Path.of("deploy/entry.properties")));
        Files.writeString(settings, matcher.replaceAll(found -> Matcher.quoteReplacement(values.get(found.group(1)))));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("LOVAGELADDER_SETTINGS", settings.toString());
        File log = folder.resolve(name + ".log").toFile();
        process = builder.redirectErrorStream(true).redirectOutput(log).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static List<String> command() throws Exception {
        Matcher run = Pattern.compile("(?s)\\[roles\\.entry].*?run = \"([^\"]*)\"")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new IllegalStateException("the deploy file has no command");
        return new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
    }

    /** Waits until the entry reports that it is ready. */
    void awaitReady() throws Exception {
        for (int i = 0; i < 200; i++) {
            if (isReady()) return;
            Store.sleep(100);
        }
        throw new IllegalStateException(name + " is not ready");
    }

    boolean isReady() {
        try (Http.Connection connection = Http.Connection.to(admin, 1000)) {
            connection.write("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
            return connection.read().status() == 200;
        } catch (Exception notYet) {
            return false;
        }
    }

    @Override
    public void close() throws Exception {
        process.destroy();
        if (!process.waitFor(500, TimeUnit.MILLISECONDS)) process.destroyForcibly().waitFor();
    }
}
