import java.nio.charset.StandardCharsets;
import java.net.URLDecoder;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store, as PROTOCOL.md describes it. {@code faults} decides what becomes of each write. */
final class Store implements AutoCloseable {
    /** What becomes of a write: done and answered, or neither now but done later. */
    interface Faults {
        /** Milliseconds after which the unanswered write is done; negative: it is done now and answered. */
        long delayOf(Map<String, Object> write);
    }

    private record Item(byte[] value, long revision, long created, long lease) {
    }

    private record Event(String key, Item item, long revision) {
    }

    private static final class Lease {
        long ttl;
        long endsAt;
    }

    final Http.Server server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 7000;
    volatile Faults faults = write -> -1;
    /** Calls that write. */
    final java.util.concurrent.atomic.AtomicInteger writes = new java.util.concurrent.atomic.AtomicInteger();

    Store() throws Exception {
        server = new Http.Server(0, this::handle);
        Http.start(this::expireLeases);
    }

    synchronized long put(String key, Object value) {
        set(key, Json.write(value).getBytes(StandardCharsets.UTF_8), 0);
        return revision;
    }

    synchronized void delete(String key) {
        if (items.remove(key) != null) history.add(new Event(key, null, ++revision));
        notifyAll();
    }

    /** The keys under {@code prefix}. */
    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void set(String key, byte[] value, long lease) {
        Item before = items.get(key);
        revision++;
        Item item = new Item(value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        history.add(new Event(key, item, revision));
        notifyAll();
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                List<Long> ended = leases.entrySet().stream()
                    .filter(entry -> entry.getValue().endsAt <= now).map(Map.Entry::getKey).toList();
                ended.forEach(this::endLease);
            }
            sleep(10);
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.entrySet().stream()
            .filter(entry -> entry.getValue().lease == id).map(Map.Entry::getKey).toList();
        keys.forEach(this::delete);
    }

    private boolean handle(Http.Message request, Http.Connection connection) throws Exception {
        String target = request.target();
        String path = target.contains("?") ? target.substring(0, target.indexOf('?')) : target;
        Map<String, String> query = queryOf(target);
        if (path.startsWith("/kv-txn") || path.startsWith("/kv-lease")) writes.incrementAndGet();
        switch (path.split("/")[1]) {
            case "kv-key" -> key(query.get("key"), connection);
            case "kv-range" -> range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""), connection);
            case "kv-watch" -> watch(query, connection);
            case "kv-txn" -> {
                Map<String, Object> write = Json.object(request.text());
                long delay = faults.delayOf(write);
                if (delay < 0) {
                    transact(write, connection);
                } else {
                    // A connection on which an answer is lost returns nothing further.
                    Http.start(() -> {
                        sleep(delay);
                        apply(write);
                    });
                    sleep(30_000);
                    return false;
                }
            }
            case "kv-lease" -> grant(Json.object(request.text()), connection);
            case "kv-keep" -> keep(Long.parseLong(path.split("/")[2]), connection);
            case "kv-lease-end" -> {
                synchronized (this) {
                    endLease(Long.parseLong(path.split("/")[2]));
                }
                connection.answer(200, "{}");
            }
            default -> connection.answer(404, "{}");
        }
        return true;
    }

    private Map<String, Object> describe(String key, Item item) {
        return Json.of("key", key, "value", Base64.getEncoder().encodeToString(item.value), "revision", item.revision,
            "createRevision", item.created, "lease", item.lease);
    }

    private void key(String key, Http.Connection connection) throws Exception {
        Map<String, Object> found;
        synchronized (this) {
            Item item = items.get(key);
            found = item == null ? null : describe(key, item);
            if (found != null) found.put("asOf", revision);
        }
        connection.answer(found == null ? 404 : 200, found == null ? "{}" : Json.write(found), "Content-Type: application/json");
    }

    private void range(String prefix, String after, Http.Connection connection) throws Exception {
        Map<String, Object> page;
        synchronized (this) {
            List<Object> found = new ArrayList<>();
            items.forEach((key, item) -> {
                if (key.startsWith(prefix) && key.compareTo(after) > 0) found.add(describe(key, item));
            });
            page = Json.of("items", found, "morePages", false, "asOf", revision);
        }
        connection.answer(200, Json.write(page), "Content-Type: application/json");
    }

    private void watch(Map<String, String> query, Http.Connection connection) throws Exception {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("waitMs"));
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> found = changes(prefix, after);
            for (long left = until - System.nanoTime() / 1_000_000; found.isEmpty() && left > 0;
                left = until - System.nanoTime() / 1_000_000) {
                wait(left);
                found = changes(prefix, after);
            }
            answer = Json.of("events", found, "asOf", revision);
        }
        connection.answer(200, Json.write(answer), "Content-Type: application/json");
    }

    private List<Object> changes(String prefix, long after) {
        List<Object> found = new ArrayList<>();
        for (Event event : history) {
            if (event.revision <= after || !event.key.startsWith(prefix)) continue;
            found.add(event.item != null
                ? describe(event.key, event.item)
                : Json.of("key", event.key, "revision", event.revision, "removed", true));
        }
        return found;
    }

    private void transact(Map<String, Object> write, Http.Connection connection) throws Exception {
        long result = apply(write);
        if (result > 0) {
            connection.answer(200, Json.write(Json.of("revision", result)), "Content-Type: application/json");
        } else {
            connection.answer((int) -result, "{\"items\":[]}", "Content-Type: application/json");
        }
    }

    /** Applies a write; returns the revision, or the negative status. */
    @SuppressWarnings("unchecked")
    private synchronized long apply(Map<String, Object> write) {
        for (Object row : (List<Object>) write.getOrDefault("expected", List.of())) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get((String) condition.get("key"));
            if ((item == null ? 0 : item.revision) != (Long) condition.get("revision")) return -412;
        }
        List<Object> writes = (List<Object>) write.getOrDefault("writes", List.of());
        for (Object row : writes) {
            long lease = (Long) ((Map<String, Object>) row).getOrDefault("lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) return -404;
        }
        for (Object row : writes) {
            Map<String, Object> change = (Map<String, Object>) row;
            set((String) change.get("key"), Base64.getDecoder().decode((String) change.get("value")),
                (Long) change.getOrDefault("lease", 0L));
        }
        for (Object key : (List<Object>) write.getOrDefault("remove", List.of())) delete((String) key);
        return revision;
    }

    private void grant(Map<String, Object> request, Http.Connection connection) throws Exception {
        long id;
        long ttl = (Long) request.get("ttlMs");
        synchronized (this) {
            id = ++lastLease;
            Lease lease = new Lease();
            lease.ttl = ttl;
            lease.endsAt = System.nanoTime() / 1_000_000 + ttl;
            leases.put(id, lease);
        }
        connection.answer(200, Json.write(Json.of("lease", id, "ttlMs", ttl)), "Content-Type: application/json");
    }

    private void keep(long id, Http.Connection connection) throws Exception {
        Long ttl = null;
        synchronized (this) {
            Lease lease = leases.get(id);
            if (lease != null) {
                lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttl;
                ttl = lease.ttl;
            }
        }
        connection.answer(ttl == null ? 404 : 200, ttl == null ? "{}" : Json.write(Json.of("ttlMs", ttl)));
    }

    private static Map<String, String> queryOf(String target) {
        Map<String, String> query = new HashMap<>();
        if (!target.contains("?")) return query;
        for (String part : target.substring(target.indexOf('?') + 1).split("&")) {
            String[] pair = part.split("=", 2);
            query.put(pair[0], URLDecoder.decode(pair.length > 1 ? pair[1] : "", StandardCharsets.UTF_8));
        }
        return query;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws Exception {
        server.close();
    }
}
