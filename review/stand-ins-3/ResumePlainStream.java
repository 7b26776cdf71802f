import java.io.EOFException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients resume streams on a route whose traffic is split between a service of engines and one without, as in the
 * config that the bench prints. At one of four entries, connections of clients are reset after some events.
 */
final class ResumePlainStream extends Case {
    private static final int ENTRIES = 4;
    private static final int CLIENTS = 16;
    private static final int STREAMS_OF_CLIENT = 50;
    private static final int EVENTS = 40;
    private static final int EVENT_BYTES = 340;
    private static final int EVENTS_BEFORE_RESET = 12;

    private final List<Entry> entries = new ArrayList<>();
    private final AtomicInteger lastId = new AtomicInteger();
    private final AtomicInteger resets = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger unfinished = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();

    ResumePlainStream() throws Exception {
        super();
    }

    public static void main(String[] arguments) throws Exception {
        new ResumePlainStream().run();
    }

    @Override
    boolean play() throws Exception {
        for (int number = 1; number <= 3; number++) startEngine("i-engine-" + number, number == 1 ? "prefill" : "decode");
        for (int number = 1; number <= 2; number++) startPlainWorker("i-plain-" + number);
        putConfig(7,
            List.of(Json.of("name", "r-1", "host", HOST, "prefix", "/digest/", "kind", "streaming", "timeoutMs", 14000,
                "targetLatencyMs", 900, "priority", 1, "trafficSplit",
                List.of(Json.of("service", "llm", "weight", 90), Json.of("service", "desk", "weight", 10)),
                "maxAttempts", 2, "sessionAffinity", true, "allowResume", true, "gapTargetMs", 300)),
            List.of(
                Json.of("name", "llm", "healthPath", "/health", "maxConnections", 360, "protocol", "h1", "tls", false,
                    "engine", Json.of("slots", 64, "kvTokens", 38202, "tokenKvBytes", 18432, "linkMbps", 740000,
                        "handleTtlS", 0.5, "switchS", 6, "pinMs", 4000, "holdMs", 2000)),
                Json.of("name", "desk", "healthPath", "/health", "maxConnections", 96, "protocol", "h1", "tls",
                    false)));
        for (int number = 1; number <= ENTRIES; number++) entries.add(startEntry("front-a-" + number, "zone-a"));
        for (Entry entry : entries) entry.awaitReady();
        CountDownLatch done = new CountDownLatch(CLIENTS);
        for (int client = 0; client < CLIENTS; client++) {
            int first = client;
            Http.start(() -> {
                for (int stream = 0; stream < STREAMS_OF_CLIENT; stream++) stream(first + stream);
                done.countDown();
            });
        }
        done.await();
        record("streams=" + CLIENTS * STREAMS_OF_CLIENT + " reset=" + resets + " whole=" + whole + " not finished="
            + unfinished + " with pieces missing or twice=" + broken);
        if (whole.get() == 0) throw new IllegalStateException("no stream was whole");
        return broken.get() == 0;
    }

    /** One stream of a client, and the rest of it at another entry if its connection was reset. */
    private void stream(int number) {
        int entry = number % ENTRIES;
        boolean isReset = trouble && entry == 0 && number / ENTRIES % 2 == 0;
        List<Integer> received = new ArrayList<>();
        boolean isEnded = false;
        try {
            isEnded = read(entries.get(entry), null, received, isReset);
            if (!isEnded) {
                Entry other = entries.get((entry + 1) % ENTRIES);
                isEnded = read(other, received.get(received.size() - 1), received, false);
            }
        } catch (Exception failure) {
            record("a stream failed: " + failure);
        }
        count(isEnded, received);
    }

    /** Missing pieces count only if the stream ended as complete; pieces out of order always count. */
    private void count(boolean isEnded, List<Integer> received) {
        boolean isInOrder = true;
        for (int i = 0; i < received.size(); i++) isInOrder &= received.get(i) == i + 1;
        if (!isInOrder || (isEnded && received.size() != EVENTS)) {
            broken.incrementAndGet();
            record("client has received the ids " + received);
        } else if (isEnded) {
            whole.incrementAndGet();
        } else {
            unfinished.incrementAndGet();
        }
    }

    private boolean read(Entry entry, Integer after, List<Integer> received, boolean isReset) throws Exception {
        String id = String.format("%016x", lastId.incrementAndGet());
        try (Http.Connection connection = Http.Connection.to(entry.port, 14_000)) {
            if (after != null) record("client resumes with " + id + " at " + entry.name + ", Last-Event-Id: " + after);
            connection.write("POST /digest/2f HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id + "\r\n"
                + (after == null ? "" : "Last-Event-Id: " + after + "\r\n")
                + "Model: m\r\nToken-Count: 160,80\r\nPrompt-Prefix: 5c1e07a2:80,e4402b7d:80\r\n"
                + "Deadline-Ms: 14000\r\nContent-Length: 4\r\n\r\nbody");
            Http.Message head = connection.readHead();
            if (head == null) throw new EOFException("no answer to " + id);
            if (head.status() != 200) throw new EOFException("status " + head.status() + " for " + id);
            return readEvents(connection, head, id, received, isReset);
        }
    }

    private boolean readEvents(
        Http.Connection connection, Http.Message head, String id, List<Integer> received, boolean isReset)
        throws Exception {
        String length = head.header("Content-Length");
        int remaining = length == null ? -1 : Integer.parseInt(length);
        StringBuilder text = new StringBuilder();
        while (true) {
            byte[] part = remaining < 0 ? connection.readChunk() : connection.in.readNBytes(Math.min(remaining, EVENT_BYTES));
            if (part == null || part.length == 0) return true;
            if (remaining > 0) remaining -= part.length;
            text.append(new String(part, StandardCharsets.UTF_8));
            for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                if (isReset && received.size() == EVENTS_BEFORE_RESET) {
                    connection.reset();
                    resets.incrementAndGet();
                    return false;
                }
                received.add(Integer.valueOf(text.substring(text.indexOf("id: ") + 4, text.indexOf("\ndata"))));
                text.delete(0, end + 2);
            }
        }
    }

    private void startPlainWorker(String id) throws Exception {
        Http.Server server = new Http.Server(0, (request, connection) -> {
            if (request.target().equals("/health")) {
                connection.answer(200, "", "Instance-Id: " + id, "Server-Load: 0,0,6");
                return true;
            }
            writeStream(id, request, connection);
            return true;
        });
        store.put("servers/" + id, worker("desk", server.port));
    }

    private void startEngine(String id, String stage) throws Exception {
        AtomicInteger numbers = new AtomicInteger();
        Http.Server server = new Http.Server(0, (request, connection) -> {
            String call = request.method() + " /" + request.target().split("[/?]")[1];
            switch (call) {
                case "GET /report" -> connection.answer(200, "{\"stage\":\"" + stage + "\",\"busy\":false,\"sequence\":0,"
                    + "\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":38202,\"kvHandles\":0}");
                case "POST /hold-take" -> connection.answer(200, "{\"hold\":\"" + id + "-h" + numbers.incrementAndGet() + "\"}");
                case "DELETE /hold-drop", "DELETE /kv-handle" -> connection.answer(200, "{}");
                case "POST /digest" -> serveDigest(id, stage, request, connection, numbers);
                default -> connection.answer(400, "{}", "Not-Executed: 1");
            }
            return true;
        });
        Map<String, Object> registration = worker("llm", server.port);
        registration.put("slots", 64);
        registration.put("stage", stage);
        store.put("servers/" + id, registration);
    }

    private void serveDigest(
        String id, String stage, Http.Message request, Http.Connection connection, AtomicInteger numbers)
        throws Exception {
        String attempt = request.header("Attempt-Id");
        boolean isPrefill = "prefill".equals(request.header("Stage"));
        if (isPrefill != stage.equals("prefill")) {
            connection.answer(421, "", "Attempt-Id: " + attempt, "Instance-Id: " + id);
        } else if (isPrefill) {
            connection.answer(200, "{\"kvHandle\":\"" + Long.toHexString(System.nanoTime()) + numbers.incrementAndGet()
                + "\",\"tokens\":160,\"version\":1}", "Attempt-Id: " + attempt, "Content-Type: application/json");
        } else {
            writeStream(id, request, connection);
        }
    }

    /** Writes the events behind the one that the request names. */
    private void writeStream(String id, Http.Message request, Http.Connection connection) throws Exception {
        String attempt = request.header("Attempt-Id");
        String after = request.header("Last-Event-Id");
        record("worker " + id + " runs " + attempt + " Last-Event-Id=" + after);
        connection.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt
            + "\r\nServer-Seal: seal." + id + "." + attempt + "\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = after == null ? 1 : Integer.parseInt(after) + 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n";
            connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Store.sleep(2);
        }
        connection.write("0\r\n\r\n");
    }

    /** The registration of a worker that listens at {@code port}. */
    static Map<String, Object> worker(String service, int port) {
        return Json.of("service", service, "address", Http.LOOPBACK + ":" + port, "zone", "zone-a", "version", "v1",
            "slots", 6, "state", "ready", "coldRemainingMs", 0, "sequence", 4, "born", 1780000000000L + port);
    }
}
