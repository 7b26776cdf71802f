import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** A model worker that follows PROTOCOL.md as far as the entries use it. Its behaviour on prefills can be replaced. */
final class Engine {
    interface Prefill {
        void run(Engine engine, Http.Connection connection, Http.Message request) throws Exception;
    }

    final String id;
    final String service;
    final String stage;
    volatile Http.Server server;
    volatile long born = System.currentTimeMillis();
    final AtomicInteger active = new AtomicInteger();
    volatile Prefill prefill = Engine::prefill;
    volatile int events = 40;
    volatile int eventMillis = 10;
    volatile String state = "ready";

    /** What the worker writes as the text of each event. */
    volatile String text = "x".repeat(80);

    /** One stream in so many has neither a length nor chunks and ends with its connection; 0: none has. */
    volatile int unframedInterval;

    /** Streams that fit into the memory of this worker. */
    volatile int capacity = 1000;
    final AtomicInteger rejected = new AtomicInteger();
    private final java.util.ArrayDeque<Long> holds = new java.util.ArrayDeque<>();

    /** Requests whose streams were written to the end. */
    final java.util.Set<String> written = java.util.concurrent.ConcurrentHashMap.newKeySet();
    private final AtomicLong numbers = new AtomicLong();
    private final Store store;
    private final Consumer<String> record;

    Engine(Store store, String id, String service, String stage, Consumer<String> record) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.record = record;
        server = new Http.Server(this::handle);
    }

    void register() {
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.port()
            + "\",\"zone\":\"pecs-kozpont\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"stage\":\""
            + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":0,\"born\":" + born + "}");
    }

    /** Crashes, and starts again MILLIS later under the same id and address. */
    void crash(int millis) throws Exception {
        int port = server.port();
        record.accept("worker " + id + " crashes with " + active.get() + " requests in progress");
        server.close();
        Thread.sleep(millis);
        born = System.currentTimeMillis();
        server = new Http.Server(port, this::handle);
        register();
        record.accept("worker " + id + " is back");
    }

    /**
     * Leaves as planned: reports that it is draining, goes on serving for SERVE_MILLIS at least and until it has answered
     * all that it was sent, and exits.
     */
    void leave(int serveMillis) throws InterruptedException {
        state = "draining";
        register();
        record.accept("worker " + id + " is draining");
        Thread.sleep(serveMillis);
        record.accept("worker " + id + " has " + active.get() + " requests in progress");
        while (active.get() > 0) Thread.sleep(1);
        server.close();
        store.remove("servers/" + id);
        record.accept("worker " + id + " has exited");
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        String path = request.target().split("\\?")[0];
        String json = "Content-Type: application/json\r\n";
        if (path.equals("/report")) {
            connection.answer(200, json, "{\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
                + "\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":" + active.get() + ",\"kvUsed\":0,\"kvTotal\":38202,"
                + "\"kvHandles\":0,\"born\":" + born + "}");
            return;
        }
        if (path.equals("/hold-take")) {
            if (!takeHold()) {
                rejected.incrementAndGet();
                connection.answer(503, "Not-Executed: 1\r\nRetry-After: 1\r\n", "");
                return;
            }
            connection.answer(200, json, "{\"hold\":\"" + id + "-" + numbers.incrementAndGet() + "\"}");
            return;
        }
        if (path.startsWith("/hold-drop/") || path.startsWith("/kv-handle/")) {
            connection.answer(200, "", "");
            return;
        }
        if (path.equals("/order")) {
            record.accept("order worker=" + id + " " + request.text());
            connection.answer(409, "", "");
            return;
        }
        String expected = request.header("Expect-Instance");
        boolean isPrefill = "prefill".equals(request.header("Stage"));
        if (expected != null && !expected.equals(id) || isPrefill != stage.equals("prefill")) {
            connection.answer(421, "Instance-Id: " + id + "\r\n", "");
            return;
        }
        String attempt = request.header("Attempt-Id");
        if (attempt == null) {
            connection.answer(400, "Not-Executed: 1\r\n", "");
            return;
        }
        if (isPrefill) {
            record.accept("prefill id=" + attempt + " worker=" + id);
            prefill.run(this, connection, request);
            return;
        }
        record.accept("run id=" + attempt + " worker=" + id + " service=" + service);
        useHold();
        try {
            stream(connection, request);
        } finally {
            active.decrementAndGet();
        }
    }

    /** Reserves room for a stream, for two seconds or until the stream begins. */
    private synchronized boolean takeHold() {
        long now = System.nanoTime();
        while (!holds.isEmpty() && now - holds.peekFirst() > 2_000_000_000L) holds.removeFirst();
        if (active.get() + holds.size() >= capacity) return false;
        holds.addLast(now);
        return true;
    }

    private synchronized void useHold() {
        holds.pollFirst();
        active.incrementAndGet();
    }

    static void prefill(Engine engine, Http.Connection connection, Http.Message request) throws Exception {
        int tokens = Integer.parseInt(request.header("Token-Count").split(",")[0]);
        Thread.sleep(tokens / 33);
        connection.answer(200, "Attempt-Id: " + request.header("Attempt-Id") + "\r\nContent-Type: application/json\r\n",
            "{\"kvHandle\":\"" + engine.id + "-" + engine.numbers.incrementAndGet() + "\",\"tokens\":" + tokens + ",\"version\":1}");
    }

    private static byte[] chunk(byte[] bytes) {
        java.io.ByteArrayOutputStream framed = new java.io.ByteArrayOutputStream();
        framed.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        framed.writeBytes(bytes);
        framed.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return framed.toByteArray();
    }

    private void stream(Http.Connection connection, Http.Message request) throws Exception {
        boolean isUnframed = unframedInterval > 0 && request.header("Attempt-Id").hashCode() % unframedInterval == 0;
        String head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.header("Attempt-Id") + "\r\nServer-Seal: " + id
            + ".1\r\nContent-Type: text/event-stream\r\n" + (isUnframed ? "Connection: close" : "Transfer-Encoding: chunked") + "\r\n\r\n";
        connection.write(head.getBytes(StandardCharsets.ISO_8859_1));
        String last = request.header("Last-Event-Id");
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
            Thread.sleep(eventMillis);
            String piece = "id: " + event + "\ndata: " + text + "\n\n";
            byte[] bytes = piece.getBytes(StandardCharsets.UTF_8);
            connection.write(isUnframed ? bytes : chunk(bytes));
        }
        written.add(request.header("Attempt-Id"));
        if (isUnframed) connection.close();
        else connection.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
}
