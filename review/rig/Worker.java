import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a worker of a plain service. It registers itself in the store and answers requests after some work. */
class Worker {
    /** Called for each request that reaches a worker to be run. */
    interface Listener {
        void onRun(Worker worker, Http.Message request, long at);
    }

    static final int HEARTBEAT_MS = 1200;

    final String id;
    final String service;
    private final Store store;
    private final String zone;
    private final int slots;
    private final int workMs;
    private final ServerSocket server;
    final Listener listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    private int sequence;
    private volatile boolean registers = true;
    private volatile String state = "ready";
    private volatile boolean ended;
    private volatile boolean silent;

    Worker(String id, String service, String zone, int slots, int workMs, Store store, Listener listener)
        throws Exception {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.workMs = workMs;
        this.store = store;
        this.listener = listener;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Rig.thread(id, () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Rig.thread(id + " connection", () -> serve(socket));
            }
        });
        if (!startsHeartbeatItself()) startHeartbeat();
    }

    /** Whether a subclass starts the heartbeat, once all its fields are set. */
    boolean startsHeartbeatItself() {
        return false;
    }

    final void startHeartbeat() {
        Rig.thread(id + " heartbeat", () -> {
            while (!ended) {
                if (!silent) register();
                Thread.sleep(HEARTBEAT_MS);
            }
        });
    }

    final void pauseHeartbeat(boolean isPaused) {
        silent = isPaused;
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Fields of the registration beside those of every worker. */
    Map<String, Object> ownFields() {
        return Map.of();
    }

    private synchronized void register() {
        if (!registers) return;
        Map<String, Object> entry = Json.map("service", service, "address", address(), "zone", zone, "version", "v1",
            "slots", slots, "state", state, "coldRemainingMs", 0, "sequence", ++sequence, "born", born);
        entry.putAll(ownFields());
        store.put("servers/" + id, Json.write(entry));
    }

    /** Reports that the worker drains. Returns when the store has acknowledged it. */
    synchronized void reportDraining() {
        state = "draining";
        register();
        Rig.record(id + ": reports draining, acknowledged");
    }

    /** Leaves without having reported that it drains: its entry is removed, and it serves on until [end]. */
    synchronized void leave() {
        registers = false;
        store.remove("servers/" + id);
        Rig.record(id + ": its entry is removed, acknowledged; it serves on");
    }

    synchronized void end() throws Exception {
        registers = false;
        ended = true;
        store.remove("servers/" + id);
        server.close();
        for (Socket socket : open) socket.close();
        Rig.record(id + ": has ended");
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = Http.buffered(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Http.Message request = Http.read(in);
                if (request == null) return;
                answer(request, out, socket);
            }
        } finally {
            open.remove(socket);
        }
    }

    String load() {
        return "Server-Load: " + Math.min(running.get(), slots) + ",0," + slots;
    }

    void answer(Http.Message request, OutputStream out, Socket socket) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.answer(out, 421, "", "Instance-Id: " + id, "Not-Executed: 1");
        } else if (request.first[1].equals("/health")) {
            Http.answer(out, state.equals("ready") ? 200 : 503, "", "Instance-Id: " + id, load());
        } else if (request.header("Attempt-Id") == null) {
            Http.answer(out, 400, "", "Not-Executed: 1");
        } else {
            run(request, out, socket);
        }
    }

    void run(Http.Message request, OutputStream out, Socket socket) throws Exception {
        String attempt = request.header("Attempt-Id");
        if (running.incrementAndGet() > slots * 4) {
            running.decrementAndGet();
            Http.answer(out, 503, "", "Attempt-Id: " + attempt, "Not-Executed: 1", load());
            return;
        }
        try {
            Rig.record(id + " (" + service + "): runs " + attempt + " " + request.first[0] + " " + request.first[1]);
            listener.onRun(this, request, Rig.now());
            Thread.sleep(workMs);
        } finally {
            running.decrementAndGet();
        }
        Http.answer(out, 200, "answer of " + id + " to " + attempt, "Attempt-Id: " + attempt,
            "Server-Seal: " + id + "." + attempt, load());
    }
}
