import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/** A config is acknowledged while the connection on which an entry watches the store has gone silent for good. */
final class SilentWatch extends Case {
    private static final double CONTACT = 3.0;

    /** Longer than the connections take to go silent, so that no reading of `contactMs` excuses what is counted. */
    private static final double MARGIN = 0.5;
    private static final double CONFIG_APPLY = 2.0;
    private final ConcurrentHashMap<String, Double> sentAt = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, String> ranAt = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        new SilentWatch().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        List<String> services = List.of(service("klon-old"), service("klon-new"));
        store.put("op/config", config(7, List.of(route("r-write", "/write/", "unsafe", "klon-old", 600, 1)), services));
        for (String service : List.of("klon-old", "klon-new")) {
            for (int number = 1; number <= 3; number++) {
                new Worker(store, "i-" + service + "-" + number, service, this::record, (worker, connection, request) -> {
                    ranAt.put(request.header("Attempt-Id"), worker.service);
                    Worker.working(20).run(worker, connection, request);
                }).register();
            }
        }
        Entry entry = entry("front-1").start();
        entry.awaitReady(20);
        record("the entry is ready");
        sleepUntil(now() + 6);
        // A change of the registry lets the watch begin anew, as such changes do all the time.
        new Worker(store, "i-klon-new-4", "klon-new", this::record, Worker.working(20)).register();
        Thread.sleep(100);
        for (int wait = 0; store.watching.isEmpty() && wait < 1_000; wait++) Thread.sleep(2);
        double silentAt = now();
        if (trouble) {
            if (store.watching.isEmpty()) throw new CannotRun("no watch waits");
            store.watching.keySet().forEach(connection -> connection.silent = true);
            record(store.watching.size() + " of " + store.connections().size() + " open connections to the store go silent");
        }
        sleepUntil(silentAt + 0.5);
        store.put("op/config", config(9, List.of(route("r-write", "/write/", "unsafe", "klon-new", 600, 1)), services));
        double acknowledgedAt = now();
        record("the store acknowledges config 9: /write/ goes to klon-new");
        while (now() < silentAt + 7) {
            send(entry);
            Thread.sleep(20);
        }
        Thread.sleep(1_000);
        double from = Math.max(acknowledgedAt + CONFIG_APPLY, silentAt + CONTACT + MARGIN);
        long late = sentAt.entrySet().stream()
            .filter(sent -> sent.getValue() > from && "klon-old".equals(ranAt.get(sent.getKey())))
            .count();
        long sent = sentAt.values().stream().filter(at -> at > from).count();
        record(late + " of " + sent + " requests sent after " + String.format("%.3f", from) + " s ran at the old service");
        return late == 0;
    }

    private void send(Entry entry) {
        String id = newId();
        sentAt.put(id, now());
        record("send id=" + id);
        Http.daemon(() -> {
            try {
                String headers = "Host: ficu95.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 600\r\n";
                Http.Message answer = Http.call(entry.port, "POST", "/write/2f", headers, "x", 2_000);
                record("answer id=" + id + " " + answer.status() + " " + answer.text().trim());
            } catch (Exception failed) {
                record("answer id=" + id + " none: " + failed);
            }
        });
    }
}
