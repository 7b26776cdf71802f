import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** What the scripts of the review share: record, temporary folder, processes, and the exit status. */
abstract class Case {
    private static final int LIMIT_MILLIS = 112_000;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startedAt = System.nanoTime();
    Path root;
    Path folder;
    Store store;
    final List<Entry> entries = new ArrayList<>();
    private BufferedWriter record;
    private volatile Thread lastRecorder;
    private final AtomicLong ids = new AtomicLong(System.nanoTime());

    /** Runs the case; returns whether the rule held. */
    abstract boolean run() throws Exception;

    void main(Path caseFolder) {
        int status = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> entries.forEach(Entry::end)));
        Http.daemon(() -> giveUp());
        try {
            root = Path.of("").toAbsolutePath();
            folder = Files.createTempDirectory("review");
            record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
            record("trouble=" + trouble);
            if (!Files.exists(root.resolve("target/lovageladder.jar"))) throw new CannotRun("the deploy file is not built");
            store = new Store();
            status = run() ? 0 : 1;
        } catch (Exception failed) {
            record("the case could not run: " + failed);
            failed.printStackTrace();
        } finally {
            lastRecorder = Thread.currentThread();
            entries.forEach(Entry::end);
            record("exit status " + status);
            deleteFolder();
        }
        System.exit(status);
    }

    /** Ends a case that takes too long; the processes end with it. */
    private void giveUp() {
        try {
            Thread.sleep(LIMIT_MILLIS);
        } catch (InterruptedException stopped) {
            return;
        }
        record("the case takes too long");
        System.exit(2);
    }

    private void deleteFolder() {
        if (System.getenv("KEEP") != null) {
            System.err.println(folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // The folder is temporary.
        }
    }

    double now() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    void sleepUntil(double seconds) throws InterruptedException {
        long millis = (long) ((seconds - now()) * 1000);
        if (millis > 0) Thread.sleep(millis);
    }

    /** Writes LINE to the record. What comes while the case ends is left out. */
    synchronized void record(String line) {
        if (lastRecorder != null && Thread.currentThread() != lastRecorder) return;
        String text = String.format("%8.3f s  %s", now(), line);
        System.out.println(text);
        if (record == null) return;
        try {
            record.write(text + "\n");
            record.flush();
        } catch (IOException failed) {
            throw new CannotRun("the record cannot be written");
        }
    }

    String newId() {
        return String.format("%016x", ids.incrementAndGet());
    }

    Entry entry(String name) throws IOException {
        Entry entry = new Entry(root, folder, name, store.port());
        entries.add(entry);
        return entry;
    }

    static String route(String name, String prefix, String kind, String service, int timeoutMillis, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":100,\"priority\":2,\"service\":\"" + service
            + "\",\"maxAttempts\":" + attempts + "}";
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}";
    }

    static String streamRoute(String name, String prefix, String service, int attempts, boolean resume) {
        return "{\"name\":\"" + name + "\",\"host\":\"ficu95.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"streaming\","
            + "\"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":" + attempts
            + ",\"sessionAffinity\":true,\"allowResume\":" + resume + ",\"gapTargetMs\":300}";
    }

    static String engineService(String name) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":64,\"kvTokens\":38202,\"tokenKvBytes\":18432,\"linkMbps\":740000.0,\"moves\":true,"
            + "\"backups\":true,\"stride\":13,\"most\":12,\"handleTtlS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,"
            + "\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}}";
    }

    static String config(int version, List<String> routes, List<String> services) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
            + String.join(",", services) + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
