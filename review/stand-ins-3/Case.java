import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** What the cases share: the store, the entries, the operator's config, the record and the exit status. */
abstract class Case {
    static final String HOST = "review.example";
    static final Map<String, Object> LIMITS =
        Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000);

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store;
    final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Entry> entries = new ArrayList<>();

    Case() throws Exception {
        folder = Files.createTempDirectory("review-case");
        record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("case.folder"), "record.txt")));
        store = new Store();
        record("trouble=" + (trouble ? 1 : 0));
    }

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    final synchronized void record(String line) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
        record.flush();
    }

    final Entry startEntry(String name, String zone) throws Exception {
        return startEntry(name, zone, store.server.port);
    }

    /** Starts an entry that reaches the store at {@code storePort}. */
    final Entry startEntry(String name, String zone, int storePort) throws Exception {
        Entry entry = new Entry(name, zone, storePort, folder);
        entries.add(entry);
        record("entry " + name + " started");
        return entry;
    }

    final void putConfig(long version, List<Object> routes, List<Object> services) {
        store.put("op/config",
            Json.of("version", version, "routes", routes, "services", services, "limits", LIMITS));
        record("config version " + version + " acknowledged");
    }

    /** Runs {@code play} and ends the process: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    final void run() {
        int status = 2;
        try {
            status = play() ? 0 : 1;
        } catch (Exception failure) {
            record("could not run: " + failure);
            failure.printStackTrace();
        }
        for (Entry entry : entries) {
            try {
                entry.close();
            } catch (Exception failure) {
                record("an entry could not be ended: " + failure);
            }
        }
        record("exit " + status);
        deleteFolder();
        System.exit(status);
    }

    private void deleteFolder() {
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
            Files.delete(folder);
        } catch (IOException failure) {
            record("the temporary folder was not deleted: " + failure);
        }
    }
}
