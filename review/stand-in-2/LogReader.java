import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;

/** The reader of an entry's log stands still for some seconds. */
final class LogReader extends Case {
    private static final double STOPPED_SECONDS = 10.0;
    private static final double TIMEOUT = 0.6;
    private static final double SLACK = 0.5;
    private final ConcurrentHashMap<String, Double> sentAt = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Double> answeredAt = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        new LogReader().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        List<String> services = List.of(service("klon-app"));
        store.put("op/config", config(7, List.of(
            route("r-write", "/write/", "unsafe", "klon-app", 600, 1),
            route("r-lookup", "/lookup/", "safe", "klon-app", 600, 2)), services));
        for (int number = 1; number <= 3; number++) {
            new Worker(store, "i-klon-" + number, "klon-app", this::record, Worker.working(20)).register();
        }
        Entry entry = entry("front-1");
        entry.isLogPiped = true;
        entry.start().awaitReady(20);
        record("the entry is ready");
        double start = now();
        Http.daemon(() -> probe(entry));
        double stopAt = start + 5;
        double resumeAt = stopAt + STOPPED_SECONDS;
        boolean isStopped = false;
        boolean isResumed = false;
        while (now() < resumeAt + 3) {
            if (trouble && !isStopped && now() >= stopAt) {
                isStopped = true;
                entry.isLogReaderStopped = true;
                record("the reader of the log stands still");
            }
            if (isStopped && !isResumed && now() >= resumeAt) {
                isResumed = true;
                entry.isLogReaderStopped = false;
                record("the reader of the log goes on");
            }
            send(entry, "POST", "/write/2f");
            Thread.sleep(30);
            send(entry, "GET", "/lookup/2f");
            Thread.sleep(70);
        }
        Thread.sleep(2_000);
        double now = now();
        long unanswered = sentAt.keySet().stream().filter(id -> wait(id, now) > TIMEOUT).count();
        long later = sentAt.keySet().stream().filter(id -> wait(id, now) > TIMEOUT + SLACK).count();
        record(sentAt.size() + " requests, " + unanswered + " unanswered at the timeoutMs of their route, " + later
            + " of these without an answer half a second later");
        return later <= 3 || later * 2 <= unanswered;
    }

    private double wait(String id, double now) {
        return answeredAt.getOrDefault(id, now) - sentAt.get(id);
    }

    private void probe(Entry entry) {
        try {
            while (true) {
                record("GET /ready: " + (entry.isReady() ? "200" : "not 200"));
                Thread.sleep(1_000);
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Entry entry, String method, String target) {
        String id = newId();
        sentAt.put(id, now());
        record("send id=" + id + " " + method + " " + target);
        Http.daemon(() -> {
            try {
                String headers = "Host: ficu95.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 600\r\n";
                Http.Message answer = Http.call(entry.port, method, target, headers, "", 30_000);
                answeredAt.put(id, now());
                record("answer id=" + id + " " + answer.status() + " " + answer.text().trim());
            } catch (Exception failed) {
                record("answer id=" + id + " none: " + failed);
            }
        });
    }
}
