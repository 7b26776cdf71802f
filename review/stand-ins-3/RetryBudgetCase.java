import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Four entries before a plain service whose workers are full for a while: they decline what arrives. Judges the retry
 * budget by what clients sent and what arrived at the workers.
 */
abstract class RetryBudgetCase extends Case {
    static final int ENTRIES = 4;
    private static final int WORKERS = 3;
    private static final double REQUESTS_PER_SECOND = 41.3;
    private static final double RATIO = 0.2;
    private static final int ALLOWANCE = 52;
    private static final long WINDOW_MILLIS = 10_000;

    final List<Entry> entries = new CopyOnWriteArrayList<>();
    private final List<Long> sent = new ArrayList<>();
    private final List<Long> repeats = new ArrayList<>();
    private final Set<String> arrived = new HashSet<>();
    private final Map<String, Integer> outcomes = new HashMap<>();
    private final Set<Entry> inRotation = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final AtomicInteger lastId = new AtomicInteger();
    private final Random random = new Random(7);
    volatile boolean isFull = false;

    RetryBudgetCase() throws Exception {
        super();
    }

    final void putServiceAndWorkers() throws Exception {
        for (int number = 1; number <= WORKERS; number++) startWorker("i-desk-" + number);
        putConfig(7,
            List.of(route("r-1", "/write/", "unsafe", 1), route("r-2", "/lookup/", "safe", 2)),
            List.of(Json.of("name", "desk", "healthPath", "/health", "maxConnections", 96, "protocol", "h1", "tls",
                false)));
    }

    private static Map<String, Object> route(String name, String prefix, String kind, int attempts) {
        return Json.of("name", name, "host", HOST, "prefix", prefix, "kind", kind, "timeoutMs", 1000,
            "targetLatencyMs", 121, "priority", 2, "service", "desk", "maxAttempts", attempts);
    }

    private void startWorker(String id) throws Exception {
        Http.Server server = new Http.Server(0, (request, connection) -> {
            if (request.target().equals("/health")) {
                connection.answer(200, "", "Instance-Id: " + id, "Server-Load: 0,0,6");
                return true;
            }
            String attempt = request.header("Attempt-Id");
            arrive(attempt);
            if (isFull) {
                connection.answer(503, "", "Attempt-Id: " + attempt, "Not-Executed: 1", "Server-Load: 6,24,6");
            } else {
                Store.sleep(10);
                connection.answer(200, "done", "Attempt-Id: " + attempt, "Server-Seal: seal." + id,
                    "Server-Load: 1,0,6");
            }
            return true;
        });
        store.put("servers/" + id, ResumePlainStream.worker("desk", server.port));
    }

    private synchronized void arrive(String attempt) {
        if (!arrived.add(attempt)) repeats.add(millis());
    }

    static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    /** The platform's balancer: asks each entry once a second, and takes it out after two misses. */
    final void startBalancer() {
        Http.start(() -> {
            Map<Entry, Integer> misses = new HashMap<>();
            while (true) {
                for (Entry entry : entries) {
                    misses.put(entry, entry.isReady() ? 0 : misses.getOrDefault(entry, 2) + 1);
                    if (misses.get(entry) < 2) inRotation.add(entry); else inRotation.remove(entry);
                }
                inRotation.retainAll(entries);
                Store.sleep(1_000);
            }
        });
    }

    /** Sends requests for {@code seconds}, each on a connection of its own. */
    final void sendFor(int seconds) throws Exception {
        long end = millis() + seconds * 1000L;
        while (millis() < end) {
            Entry entry = pick();
            String id = String.format("%016x", lastId.incrementAndGet());
            String request = random.nextDouble() < 0.714
                ? "POST /write/2f HTTP/1.1\r\nContent-Length: 3\r\n" : "GET /lookup/2f HTTP/1.1\r\n";
            if (entry != null) Http.start(() -> send(entry, id, request));
            Store.sleep(Math.round(1000 / REQUESTS_PER_SECOND));
        }
    }

    private Entry pick() {
        List<Entry> ready = new ArrayList<>(inRotation);
        return ready.isEmpty() ? null : ready.get(random.nextInt(ready.size()));
    }

    private void send(Entry entry, String id, String request) {
        synchronized (this) {
            sent.add(millis());
        }
        String outcome;
        try (Http.Connection connection = Http.Connection.to(entry.port, 1_000)) {
            connection.write(request + "Host: " + HOST + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 1000\r\n\r\n"
                + (request.startsWith("POST") ? "abc" : ""));
            Http.Message answer = connection.read();
            outcome = answer == null ? "closed" : "" + answer.status();
        } catch (Exception failure) {
            outcome = failure.getClass().getSimpleName();
        }
        synchronized (this) {
            outcomes.merge(outcome, 1, Integer::sum);
        }
    }

    /** The rule BUDGET: returns whether it held in every window. */
    final synchronized boolean judge() {
        long first = sent.get(0);
        long last = millis();
        double worst = Double.NEGATIVE_INFINITY;
        String description = "";
        for (long start = first - WINDOW_MILLIS; start <= last; start += 50) {
            long arrivals = count(repeats, start);
            long requests = Math.max(count(sent, start),
                Math.max(count(sent, start - WINDOW_MILLIS), count(sent, start - WINDOW_MILLIS / 2)));
            double limit = RATIO * requests + ALLOWANCE;
            if (arrivals - limit > worst) {
                worst = arrivals - limit;
                description = "arrivals beyond the first=" + arrivals + " requests=" + requests + " limit=" + limit
                    + " window begins " + (start - first) + " ms after the first request";
            }
        }
        record("outcomes of clients: " + outcomes);
        record("requests=" + sent.size() + " arrivals beyond the first=" + repeats.size());
        record("worst window: " + description);
        return worst <= 0;
    }

    private static long count(List<Long> times, long start) {
        return times.stream().filter(time -> time >= start && time < start + WINDOW_MILLIS).count();
    }
}
