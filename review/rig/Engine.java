import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a model worker: reservations, prefill, and decode as a stream of events. */
final class Engine extends Worker {
    /** How the decode of a request goes: whether it is preempted, and whether it ends when its connection closes. */
    static final class Behaviour {
        /** For how long a run that has outgrown its reservation is preempted; 0 if memory does not run out. */
        int preemptedMs;
        boolean dropsOnClose = true;
        int eventMs = 20;
    }

    /** Is told of the decode of a request: its beginning and its end at this worker. */
    interface RunListener {
        void onBegin(Engine engine, String attempt, long at);

        void onEnd(Engine engine, String attempt, long at);
    }

    private static final int PROMPT_TOKENS = 3200;
    private static final int PREFILL_MS = 100;
    private static final int SWITCH_MS = 6000;
    private static final Map<String, Engine> HANDLES = new ConcurrentHashMap<>();
    private static final AtomicLong LAST_NAME = new AtomicLong(0x3fa09c41b7d5L);

    final Behaviour behaviour = new Behaviour();
    private final RunListener runListener;
    private final Map<String, Long> holds = new ConcurrentHashMap<>();
    private final AtomicInteger active = new AtomicInteger();
    private final AtomicInteger orders = new AtomicInteger();
    private volatile String stage;
    private volatile boolean dark;
    private volatile long switchingUntil;

    Engine(String id, String service, String zone, String stage, Store store, Listener listener, RunListener runListener)
        throws Exception {
        super(id, service, zone, 64, 0, store, listener);
        this.stage = stage;
        this.runListener = runListener;
        startHeartbeat();
    }

    @Override
    boolean startsHeartbeatItself() {
        return true;
    }

    @Override
    Map<String, Object> ownFields() {
        return Json.map("stage", stage, "models",
            List.of(Json.map("name", "m", "version", 1, "adapters", List.of())));
    }

    /** From now on, or no longer, the worker takes in calls and answers none. Its heartbeat stops meanwhile. */
    void setDark(boolean isDark) {
        dark = isDark;
        pauseHeartbeat(isDark);
        Rig.record(id + (isDark ? ": goes dark" : ": is back"));
    }

    private void holdWhileDark() throws IOException, InterruptedException {
        if (!dark) return;
        while (dark) Thread.sleep(10);
        throw new IOException("the calls of the dark time are lost");
    }

    @Override
    String load() {
        return "Server-Load: " + active.get() + ",0,64";
    }

    @Override
    void answer(Http.Message request, OutputStream out, Socket socket) throws Exception {
        holdWhileDark();
        String path = request.first[1];
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.answer(out, 421, "", "Instance-Id: " + id, "Not-Executed: 1");
        } else if (path.equals("/hold-take")) {
            String hold = newName();
            holds.put(hold, (long) Json.object(request.text()).get("tokens"));
            Rig.record(id + ": reserves " + holds.get(hold) + " tokens, " + hold);
            Http.answer(out, 200, Json.write(Json.map("hold", hold)), "Content-Type: application/json");
        } else if (path.startsWith("/hold-drop/")) {
            Http.answer(out, holds.remove(path.substring(11)) != null ? 200 : 404, "");
        } else if (path.startsWith("/kv-handle/")) {
            Http.answer(out, HANDLES.remove(path.substring(11)) != null ? 200 : 404, "");
        } else if (path.equals("/report")) {
            Http.answer(out, 200, report(), "Content-Type: application/json");
        } else if (path.equals("/order")) {
            order(Json.object(request.text()), out);
        } else {
            super.answer(request, out, socket);
        }
    }

    private static String newName() {
        return Long.toHexString(LAST_NAME.addAndGet(0x10001));
    }

    private String report() {
        Map<String, Object> report = Json.map("busy", Rig.now() < switchingUntil, "sequence", orders.get(), "queued", 0,
            "active", active.get(), "kvUsed", 0, "kvTotal", 38202, "kvHandles", 0);
        report.putAll(ownFields());
        return Json.write(report);
    }

    private void order(Map<String, Object> order, OutputStream out) throws Exception {
        Rig.record(id + ": order " + Json.write(order));
        if (order.get("expected") != null && (long) order.get("expected") != orders.get()) {
            Http.answer(out, 409, "");
        } else if (stage.equals(order.get("stage"))) {
            Http.answer(out, 200, "");
        } else {
            orders.incrementAndGet();
            switchingUntil = Rig.now() + SWITCH_MS;
            Rig.thread(id + " switch", () -> {
                Thread.sleep(SWITCH_MS);
                stage = (String) order.get("stage");
            });
            Http.answer(out, 202, "");
        }
    }

    @Override
    void run(Http.Message request, OutputStream out, Socket socket) throws Exception {
        String attempt = request.header("Attempt-Id");
        boolean isPrefill = "prefill".equals(request.header("Stage"));
        boolean isWrongStage = isPrefill != stage.equals("prefill");
        if (isWrongStage) {
            Http.answer(out, 421, "", "Attempt-Id: " + attempt, "Not-Executed: 1", load());
        } else if (Rig.now() < switchingUntil) {
            Http.answer(out, 503, "", "Attempt-Id: " + attempt, "Not-Executed: 1", load());
        } else if (isPrefill) {
            prefill(attempt, out);
        } else {
            decode(request, attempt, out, socket);
        }
    }

    private void prefill(String attempt, OutputStream out) throws Exception {
        Rig.record(id + ": prefills " + attempt);
        Thread.sleep(PREFILL_MS);
        holdWhileDark();
        String handle = newName();
        HANDLES.put(handle, this);
        Http.answer(out, 200, Json.write(Json.map("kvHandle", handle, "tokens", PROMPT_TOKENS, "version", 1)),
            "Content-Type: application/json", "Attempt-Id: " + attempt, load());
    }

    private void decode(Http.Message request, String attempt, OutputStream out, Socket socket) throws Exception {
        String hold = request.header("Kv-Hold");
        Long reserved = hold == null ? null : holds.remove(hold);
        String source = request.header("Kv-Source");
        Rig.record(id + ": request " + attempt + " reaches it to be run, Last-Event-Id=" + request.header("Last-Event-Id"));
        listener.onRun(this, request, Rig.now());
        if (source != null && HANDLES.remove(source.substring(source.indexOf('/') + 1)) == null) {
            Http.answer(out, 503, "", "Attempt-Id: " + attempt, "Not-Executed: 1", load());
            return;
        }
        String last = request.header("Last-Event-Id");
        active.incrementAndGet();
        runListener.onBegin(this, attempt, Rig.now());
        try {
            stream(attempt, last == null ? 0 : Integer.parseInt(last), reserved == null ? 0 : reserved, out, socket);
        } finally {
            active.decrementAndGet();
            runListener.onEnd(this, attempt, Rig.now());
        }
        throw new IOException("the answer announced that the connection ends");
    }

    /**
     * Makes the events after [last]. A run is not preempted while the [reserved] tokens cover it. A worker that does not
     * drop a request works on when its connection has closed.
     */
    private void stream(String attempt, int last, long reserved, OutputStream out, Socket socket) throws Exception {
        int length = Lengths.of(attempt);
        boolean wasPreempted = last > 0;
        boolean[] isClosed = new boolean[1];
        Rig.thread(id + " close", () -> {
            try {
                socket.getInputStream().read();
            } finally {
                isClosed[0] = true;
            }
        });
        String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: "
            + attempt + "\r\nServer-Seal: " + id + "." + attempt + "\r\n" + load() + "\r\nConnection: close\r\n\r\n";
        boolean canWrite = write(out, head);
        for (int event = last + 1; event <= length; event++) {
            Thread.sleep(behaviour.eventMs);
            if (!wasPreempted && PROMPT_TOKENS + event > reserved && behaviour.preemptedMs > 0) {
                wasPreempted = true;
                preempt(attempt, event, isClosed);
            }
            if (behaviour.dropsOnClose && isClosed[0]) {
                Rig.record(id + ": drops " + attempt + " before event " + event);
                return;
            }
            String text = "id: " + event + "\ndata: token " + event + "\n\n";
            canWrite = canWrite && write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        if (canWrite) write(out, "0\r\n\r\n");
        Rig.record(id + ": ends " + attempt + " after event " + length);
    }

    private void preempt(String attempt, int event, boolean[] isClosed) throws Exception {
        Rig.record(id + ": preempts " + attempt + " before event " + event + ", which its reservation does not cover");
        long until = Rig.now() + behaviour.preemptedMs;
        while (Rig.now() < until && !(behaviour.dropsOnClose && isClosed[0])) Thread.sleep(10);
        Rig.record(id + ": " + attempt + (isClosed[0] ? ": its connection has closed" : " goes on"));
    }

    private static boolean write(OutputStream out, String text) {
        try {
            Http.write(out, text.getBytes(StandardCharsets.ISO_8859_1));
            return true;
        } catch (IOException closed) {
            return false;
        }
    }
}
