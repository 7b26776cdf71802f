import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A client resumes a stream on a route whose traffic is split between an engine service and one without an engine, as
 * the config that the bench prints. The connection of the first attempt is reset after some events.
 */
final class ResumePlainStream extends Case {
    private static final int EVENTS = 40;
    private static final int EVENT_BYTES = 340;
    private static final int STREAMS = 20;
    private static final int EVENTS_BEFORE_RESET = 12;

    ResumePlainStream() throws Exception {
        super();
    }

    public static void main(String[] arguments) throws Exception {
        new ResumePlainStream().run();
    }

    @Override
    boolean play() throws Exception {
        for (String id : List.of("i-plain-1", "i-plain-2")) startWorker(id);
        putConfig(7,
            List.of(Json.of("name", "r-1", "host", HOST, "prefix", "/digest/", "kind", "streaming", "timeoutMs", 14000,
                "targetLatencyMs", 900, "priority", 1, "trafficSplit",
                List.of(Json.of("service", "desk", "weight", 10)), "maxAttempts", 2,
                "sessionAffinity", true, "allowResume", true, "gapTargetMs", 300)),
            List.of(Json.of("name", "desk", "healthPath", "/health", "maxConnections", 96, "protocol", "h1",
                "tls", false)));
        Entry entry = startEntry("front-a-1", "zone-a");
        entry.awaitReady();
        int broken = 0;
        for (int number = 1; number <= STREAMS; number++) {
            if (!stream(entry, number)) broken++;
        }
        record("streams=" + STREAMS + " with pieces missing or twice=" + broken);
        return broken == 0;
    }

    /** One client: a stream, and the rest of it after a reset. Returns whether it got each event once. */
    private boolean stream(Entry entry, int number) throws Exception {
        List<Integer> received = new ArrayList<>();
        boolean ended = read(entry, String.format("%016x", number * 2L), null, received, trouble);
        if (!ended) ended = read(entry, String.format("%016x", number * 2L + 1), received.get(received.size() - 1), received, false);
        boolean isWhole = ended && received.size() == EVENTS;
        for (int i = 0; i < received.size(); i++) isWhole &= received.get(i) == i + 1;
        record("client " + number + " ended=" + ended + " ids=" + received);
        return isWhole;
    }

    private boolean read(Entry entry, String id, Integer after, List<Integer> received, boolean isReset)
        throws Exception {
        try (Http.Connection connection = Http.Connection.to(entry.port, 14_000)) {
            record("client sends " + id + " Last-Event-Id=" + after);
            connection.write("POST /digest/2f HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id + "\r\n"
                + (after == null ? "" : "Last-Event-Id: " + after + "\r\n")
                + "Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,e4402b7d:660\r\n"
                + "Deadline-Ms: 14000\r\nContent-Length: 4\r\n\r\nbody");
            Http.Message head = connection.readHead();
            record("client gets status " + head.status() + " for " + id);
            StringBuilder text = new StringBuilder();
            for (byte[] chunk = next(connection, head); chunk != null; chunk = next(connection, head)) {
                text.append(new String(chunk, StandardCharsets.UTF_8));
                for (int end = text.indexOf("\n\n"); end >= 0; end = text.indexOf("\n\n")) {
                    if (isReset && received.size() == EVENTS_BEFORE_RESET) {
                        connection.reset();
                        record("connection of " + id + " is reset after event " + received.size());
                        return false;
                    }
                    received.add(Integer.valueOf(text.substring(text.indexOf("id: ") + 4, text.indexOf("\ndata"))));
                    text.delete(0, end + 2);
                }
            }
            return true;
        }
    }

    private byte[] next(Http.Connection connection, Http.Message head) throws Exception {
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) return connection.readChunk();
        byte[] bytes = connection.in.readNBytes(0);
        int remaining = remainingOf(head);
        if (remaining == 0) return null;
        bytes = connection.in.readNBytes(Math.min(remaining, EVENT_BYTES));
        setRemaining(head, remaining - bytes.length);
        return bytes;
    }

    private static int remainingOf(Http.Message head) {
        return Integer.parseInt(head.header("Content-Length"));
    }

    private static void setRemaining(Http.Message head, int remaining) {
        for (String[] header : head.headers) {
            if (header[0].equalsIgnoreCase("Content-Length")) header[1] = "" + remaining;
        }
    }

    private void startWorker(String id) throws Exception {
        Http.Server server = new Http.Server(0, (request, connection) -> {
            if (request.target().equals("/health")) {
                connection.answer(200, "", "Instance-Id: " + id, "Server-Load: 0,0,6");
                return true;
            }
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
            return true;
        });
        store.put("servers/" + id, worker("desk", server.port));
    }

    static Map<String, Object> worker(String service, int port) {
        return Json.of("service", service, "address", Http.LOOPBACK + ":" + port, "zone", "zone-a", "version", "v1",
            "slots", 6, "state", "ready", "coldRemainingMs", 0, "sequence", 4, "born", 1780000000000L + port);
    }
}
