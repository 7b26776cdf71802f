import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The cut heals just after the entry has begun an attempt to reach the store: an entry is cut off from the store for some seconds. Meanwhile a worker's registration is removed, as that of a worker
 * that leaves without reporting it; the worker goes on serving for some seconds. Clients go on sending.
 */
final class GoneWhileCut extends Case {
    private static final int ROUNDS = 6;
    private static final int WORKERS = 4;
    private static final int CLIENTS = 6;
    private static final long CUT_MILLIS = 4_500;
    private static final long REMOVED_BEFORE_HEAL_MILLIS = 500;
    private static final long LONGEST_PAUSE_MILLIS = 1_400;
    private static final long AFTER_ATTEMPT_MILLIS = 50;
    private static final long SERVES_ON_MILLIS = 5_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;

    private final Map<String, Http.Server> workers = new ConcurrentHashMap<>();
    private final Map<String, List<Long>> arrivals = new ConcurrentHashMap<>();
    private final Map<String, Integer> outcomes = new HashMap<>();
    private volatile boolean isOver = false;

    GoneWhileCut() throws Exception {
        super();
    }

    public static void main(String[] arguments) throws Exception {
        new GoneWhileCut().run();
    }

    @Override
    boolean play() throws Exception {
        for (int number = 1; number <= WORKERS; number++) startWorker("i-desk-" + number);
        putConfig(7,
            List.of(Json.of("name", "r-1", "host", HOST, "prefix", "/write/", "kind", "unsafe", "timeoutMs", 1000,
                "targetLatencyMs", 121, "priority", 2, "service", "desk", "maxAttempts", 1)),
            List.of(Json.of("name", "desk", "healthPath", "/health", "maxConnections", 96, "protocol", "h1", "tls",
                false)));
        Link link = new Link(store.server.port);
        Entry entry = startEntry("front-a-1", "zone-a", link.port);
        entry.awaitReady();
        for (int client = 1; client <= CLIENTS; client++) {
            int number = client;
            Http.start(() -> sendAll(entry, number));
        }
        Store.sleep(3_500);
        int broken = 0;
        for (int round = 1; round <= ROUNDS; round++) broken += round(link, round);
        isOver = true;
        record("outcomes of clients: " + outcomes);
        record("rounds=" + ROUNDS + " with requests to a worker that is gone=" + broken);
        return broken == 0;
    }

    private int round(Link link, int round) throws Exception {
        String id = "i-desk-" + round;
        if (trouble) link.cut();
        long cutAt = millis();
        record("entry cut off from the store=" + trouble);
        Store.sleep(CUT_MILLIS - REMOVED_BEFORE_HEAL_MILLIS);
        startWorker("i-desk-" + (WORKERS + round));
        store.delete("servers/" + id);
        long removedAt = millis();
        record("the store acknowledges that " + id + " is gone; it serves on");
        Store.sleep(REMOVED_BEFORE_HEAL_MILLIS);
        if (trouble) link.awaitAttempt("GET /kv-range?prefix=op/", LONGEST_PAUSE_MILLIS);
        Store.sleep(AFTER_ATTEMPT_MILLIS);
        link.heal();
        long healedAt = millis();
        record("the link to the store is healed, after " + (healedAt - cutAt) + " ms");
        Store.sleep(SERVES_ON_MILLIS);
        workers.remove(id).close();
        long inTouchFrom = trouble ? healedAt + CONTACT_MILLIS : removedAt;
        long from = Math.max(removedAt + DRAIN_MILLIS, inTouchFrom);
        long late = arrivals.get(id).stream().filter(at -> at > from).count();
        long last = arrivals.get(id).stream().mapToLong(at -> at).max().orElse(removedAt);
        record("worker " + id + " got its last request " + (last - removedAt) + " ms after it was gone, "
            + (last - healedAt) + " ms after the link healed; requests after the bound: " + late);
        return late > 0 ? 1 : 0;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    private void startWorker(String id) throws Exception {
        List<Long> times = java.util.Collections.synchronizedList(new ArrayList<>());
        arrivals.put(id, times);
        Http.Server server = new Http.Server(0, (request, connection) -> {
            if (request.target().equals("/health")) {
                connection.answer(200, "", "Instance-Id: " + id, "Server-Load: 0,0,6");
                return true;
            }
            times.add(millis());
            Store.sleep(10);
            String attempt = request.header("Attempt-Id");
            connection.answer(200, "done", "Attempt-Id: " + attempt, "Server-Seal: seal." + id, "Server-Load: 1,0,6");
            return true;
        });
        workers.put(id, server);
        store.put("servers/" + id, ResumePlainStream.worker("desk", server.port));
    }

    private void sendAll(Entry entry, int client) {
        for (int number = 0; !isOver; number++) {
            String outcome;
            try (Http.Connection connection = Http.Connection.to(entry.port, 1_000)) {
                connection.write("POST /write/2f HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: "
                    + String.format("%08x%08x", client, number) + "\r\nDeadline-Ms: 1000\r\nContent-Length: 3\r\n\r\nabc");
                outcome = "" + connection.read().status();
            } catch (Exception failure) {
                outcome = failure.getClass().getSimpleName();
            }
            synchronized (outcomes) {
                outcomes.merge(outcome, 1, Integer::sum);
            }
            Store.sleep(100);
        }
    }
}
