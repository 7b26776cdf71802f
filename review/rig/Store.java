import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of the platform's metadata store, as PROTOCOL.md describes it: items, watches, transactions and leases. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private static final class Item {
        String value;
        long revision;
        long createRevision;
        long lease;
    }

    private static final class Lease {
        long durationMs;
        long endsAt;
    }

    private final ServerSocket server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private long revision = 100;
    private long lastLease = 7000;

    Store() throws Exception {
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Rig.thread("store", () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Rig.thread("store connection", () -> serve(socket));
            }
        });
        Rig.thread("store leases", () -> {
            while (true) {
                Thread.sleep(20);
                endLeases();
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** From now on nothing comes back on the connections that are open now. New ones are served. */
    void silenceOpenConnections() {
        silent.addAll(open);
        Rig.record("store: " + silent.size() + " open connections are silent from now on");
    }

    /** Writes a value as the operator or a worker does. Returns when the store has acknowledged it. */
    synchronized void put(String key, String value) {
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void remove(String key) {
        removeKey(key);
        notifyAll();
    }

    private void write(String key, String value, long lease) {
        Item item = items.computeIfAbsent(key, k -> new Item());
        item.value = value;
        item.revision = ++revision;
        if (item.createRevision == 0) item.createRevision = revision;
        item.lease = lease;
        history.add(describe(key, item));
    }

    private void removeKey(String key) {
        if (items.remove(key) == null) return;
        history.add(Json.map("key", key, "revision", ++revision, "removed", true));
    }

    private static Map<String, Object> describe(String key, Item item) {
        return Json.map("key", key, "value", item.value, "revision", item.revision, "createRevision",
            item.createRevision, "lease", item.lease);
    }

    private synchronized void endLeases() {
        long now = Rig.now();
        List<Long> ended = leases.entrySet().stream().filter(e -> e.getValue().endsAt <= now).map(Map.Entry::getKey)
            .toList();
        ended.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.entrySet().stream().filter(e -> e.getValue().lease == id).map(Map.Entry::getKey)
            .toList();
        keys.forEach(this::removeKey);
        notifyAll();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in);
                if (request == null) return;
                if (silent.contains(socket)) continue;
                Object[] answer = handle(request);
                if (!silent.contains(socket)) {
                    Http.answer(out, (int) answer[0], (String) answer[1], "Content-Type: application/json");
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    private Object[] handle(Http.Message request) throws Exception {
        String[] target = request.first[1].split("\\?", 2);
        Map<String, String> query = new LinkedHashMap<>();
        if (target.length > 1) {
            for (String field : target[1].split("&")) {
                String[] pair = field.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        String path = target[0];
        if (path.equals("/kv-watch")) return watch(query);
        synchronized (this) {
            try {
                if (path.equals("/kv-key")) return key(query.get("key"));
                if (path.equals("/kv-range")) return range(query);
                if (path.equals("/kv-txn")) return transaction(Json.object(request.text()));
                if (path.equals("/kv-lease")) return lease((long) Json.object(request.text()).get("ttlMs"));
                if (path.startsWith("/kv-keep/")) return keep(Long.parseLong(path.substring(9)));
                if (path.startsWith("/kv-lease-end/")) {
                    endLease(Long.parseLong(path.substring(14)));
                    return new Object[] {200, "{}"};
                }
                return new Object[] {404, "{}"};
            } finally {
                notifyAll();
            }
        }
    }

    private Object[] key(String key) {
        Item item = items.get(key);
        if (item == null) return new Object[] {404, "{}"};
        Map<String, Object> answer = describe(key, item);
        answer.put("asOf", revision);
        return new Object[] {200, Json.write(answer)};
    }

    private Object[] range(Map<String, String> query) {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        List<Object> found = new ArrayList<>();
        int size = 0;
        for (Map.Entry<String, Item> entry : items.subMap(prefix, prefix + '\uffff').entrySet()) {
            if (entry.getKey().compareTo(after) <= 0) continue;
            if (found.size() == PAGE_ITEMS || size > PAGE_BYTES) return page(found, true);
            found.add(describe(entry.getKey(), entry.getValue()));
            size += entry.getValue().value.length();
        }
        return page(found, false);
    }

    private Object[] page(List<Object> found, boolean hasMore) {
        return new Object[] {200, Json.write(Json.map("items", found, "morePages", hasMore, "asOf", revision))};
    }

    private synchronized Object[] watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long until = Rig.now() + Long.parseLong(query.get("waitMs"));
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Map<String, Object> event : history) {
                if ((long) event.get("revision") > after && ((String) event.get("key")).startsWith(prefix)) {
                    events.add(event);
                }
            }
            long left = until - Rig.now();
            if (!events.isEmpty() || left <= 0) {
                return new Object[] {200, Json.write(Json.map("events", events, "asOf", revision))};
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Object[] transaction(Map<String, Object> change) {
        List<Map<String, Object>> expected = (List<Map<String, Object>>) change.getOrDefault("expected", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) change.getOrDefault("writes", List.of());
        List<String> removals = (List<String>) change.getOrDefault("remove", List.of());
        for (Map<String, Object> row : expected) {
            Item item = items.get((String) row.get("key"));
            if ((item == null ? 0 : item.revision) != (long) row.get("revision")) return new Object[] {412, "{\"items\":[]}"};
        }
        for (Map<String, Object> row : writes) {
            long lease = row.get("lease") == null ? 0 : (long) row.get("lease");
            if (lease != 0 && !leases.containsKey(lease)) return new Object[] {404, "{}"};
        }
        for (Map<String, Object> row : writes) {
            write((String) row.get("key"), (String) row.get("value"), row.get("lease") == null ? 0 : (long) row.get("lease"));
        }
        removals.forEach(this::removeKey);
        return new Object[] {200, Json.write(Json.map("revision", revision))};
    }

    private Object[] lease(long durationMs) {
        Lease lease = new Lease();
        lease.durationMs = Math.max(1000, durationMs);
        lease.endsAt = Rig.now() + lease.durationMs;
        leases.put(++lastLease, lease);
        return new Object[] {200, Json.write(Json.map("lease", lastLease, "ttlMs", lease.durationMs))};
    }

    private Object[] keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new Object[] {404, "{}"};
        lease.endsAt = Rig.now() + lease.durationMs;
        return new Object[] {200, Json.write(Json.map("ttlMs", lease.durationMs))};
    }
}
