import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store, as PROTOCOL.md describes it: items, watches, transactions and leases. */
final class Store {
    private static final class Item {
        String key;
        String value;
        long revision;
        long created;
        long lease;
        boolean removed;

        String json() {
            if (removed) return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"removed\":true}";
            return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision
                + ",\"createRevision\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private static final class Lease {
        long ttlMillis;
        long endsAt;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Item> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 10;
    private long nextLease = 1000;
    private final Http.Server server;

    /** Called with each call, before it is carried out. */
    volatile Http.Handler onCall = (connection, request) -> {};

    /** Connections on which a watch waits now. */
    final Map<Http.Connection, Boolean> watching = new java.util.concurrent.ConcurrentHashMap<>();

    Store() throws IOException {
        server = new Http.Server(this::handle);
        Http.daemon(this::expireLeases);
    }

    int port() {
        return server.port();
    }

    java.util.Set<Http.Connection> connections() {
        return server.connections;
    }

    /** Writes as the operator or a server does. Returns when the write is acknowledged. */
    synchronized long put(String key, String value) {
        return write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) delete(key);
    }

    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    private long write(String key, String value, long lease) {
        Item before = items.get(key);
        Item item = new Item();
        item.key = key;
        item.value = value;
        item.revision = ++revision;
        item.created = before == null ? revision : before.created;
        item.lease = lease;
        items.put(key, item);
        history.add(item);
        notifyAll();
        return revision;
    }

    private void delete(String key) {
        items.remove(key);
        Item item = new Item();
        item.key = key;
        item.revision = ++revision;
        item.removed = true;
        history.add(item);
        notifyAll();
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                leases.entrySet().removeIf(entry -> {
                    if (entry.getValue().endsAt > now) return false;
                    endLease(entry.getKey());
                    return true;
                });
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private void endLease(long lease) {
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease == lease) keys.add(item.key);
        });
        keys.forEach(this::delete);
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        if (connection.silent) return;
        onCall.handle(connection, request);
        if (connection.silent) return;
        String target = request.target();
        String path = target.split("\\?")[0];
        Map<String, String> query = query(target);
        if (path.equals("/kv-watch")) {
            watch(connection, query);
            return;
        }
        Thread.sleep(3);
        String answer;
        int status = 200;
        synchronized (this) {
            if (path.equals("/kv-key")) {
                Item item = items.get(query.get("key"));
                if (item == null) {
                    status = 404;
                    answer = "{\"asOf\":" + revision + "}";
                } else {
                    String json = item.json();
                    answer = json.substring(0, json.length() - 1) + ",\"asOf\":" + revision + "}";
                }
            } else if (path.equals("/kv-range")) {
                answer = range(query);
            } else if (path.equals("/kv-txn")) {
                String[] result = transact(request.text());
                status = Integer.parseInt(result[0]);
                answer = result[1];
            } else if (path.equals("/kv-lease")) {
                Lease lease = new Lease();
                lease.ttlMillis = number(request.text(), "ttlMs");
                lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMillis;
                leases.put(++nextLease, lease);
                answer = "{\"lease\":" + nextLease + ",\"ttlMs\":" + lease.ttlMillis + "}";
            } else if (path.startsWith("/kv-keep/")) {
                Lease lease = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
                if (lease == null) {
                    status = 404;
                    answer = "{}";
                } else {
                    lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMillis;
                    answer = "{\"ttlMs\":" + lease.ttlMillis + "}";
                }
            } else if (path.startsWith("/kv-lease-end/")) {
                long id = Long.parseLong(path.substring("/kv-lease-end/".length()));
                if (leases.remove(id) != null) endLease(id);
                answer = "{}";
            } else {
                status = 404;
                answer = "{}";
            }
        }
        connection.answer(status, "Content-Type: application/json\r\n", answer);
    }

    private String range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        StringBuilder found = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key.startsWith(prefix)) break;
            if (item.key.compareTo(after) <= 0 && !after.isEmpty()) continue;
            if (count == 500) {
                more = true;
                break;
            }
            found.append(count++ == 0 ? "" : ",").append(item.json());
        }
        return "{\"items\":[" + found + "],\"morePages\":" + more + ",\"asOf\":" + revision + "}";
    }

    private void watch(Http.Connection connection, Map<String, String> query) throws Exception {
        long after = Long.parseLong(query.get("after"));
        String prefix = query.getOrDefault("prefix", "");
        long until = System.nanoTime() / 1_000_000 + Long.parseLong(query.get("waitMs"));
        String answer;
        watching.put(connection, true);
        synchronized (this) {
            while (true) {
                StringBuilder events = new StringBuilder();
                for (Item item : history) {
                    if (item.revision > after && item.key.startsWith(prefix)) {
                        events.append(events.length() == 0 ? "" : ",").append(item.json());
                    }
                }
                long left = until - System.nanoTime() / 1_000_000;
                answer = "{\"events\":[" + events + "],\"asOf\":" + revision + "}";
                if (events.length() > 0 || left <= 0) break;
                wait(left);
            }
        }
        watching.remove(connection);
        connection.answer(200, "Content-Type: application/json\r\n", answer);
    }

    /** Carries out a transaction in the form in which the entries write it. */
    private String[] transact(String body) {
        Matcher lists = Pattern.compile("\"(expected|writes|remove)\":\\[(.*?)\\](?=,\"(?:expected|writes|remove)\"|\\}$)").matcher(body);
        Map<String, String> parts = new HashMap<>();
        while (lists.find()) parts.put(lists.group(1), lists.group(2));
        Matcher conditions = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"revision\":(\\d+)\\}").matcher(parts.getOrDefault("expected", ""));
        while (conditions.find()) {
            Item item = items.get(conditions.group(1));
            long known = item == null ? 0 : item.revision;
            if (known != Long.parseLong(conditions.group(2))) {
                return new String[] {"412", "{\"items\":[" + (item == null ? "" : item.json()) + "]}"};
            }
        }
        Pattern write = Pattern.compile("\\{\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\",\"lease\":(\\d+)\\}");
        Matcher writes = write.matcher(parts.getOrDefault("writes", ""));
        while (writes.find()) {
            long lease = Long.parseLong(writes.group(3));
            if (lease != 0 && !leases.containsKey(lease)) return new String[] {"404", "{}"};
        }
        writes.reset();
        while (writes.find()) write(writes.group(1), writes.group(2), Long.parseLong(writes.group(3)));
        Matcher removals = Pattern.compile("\"([^\"]*)\"").matcher(parts.getOrDefault("remove", ""));
        while (removals.find()) remove(removals.group(1));
        return new String[] {"200", "{\"revision\":" + revision + "}"};
    }

    private static long number(String json, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
        if (!matcher.find()) throw new IllegalArgumentException(field);
        return Long.parseLong(matcher.group(1));
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) return query;
        for (String part : target.substring(mark + 1).split("&")) {
            int equals = part.indexOf('=');
            query.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}
