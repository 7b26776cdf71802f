import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** A worker of a plain service that follows PROTOCOL.md. Its behaviour on requests can be replaced. */
final class Worker {
    interface Behaviour {
        void run(Worker worker, Http.Connection connection, Http.Message request) throws Exception;
    }

    final String id;
    final String service;
    final Store store;
    final Http.Server server;
    final long born = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    volatile String state = "ready";
    volatile Behaviour behaviour;
    private final Consumer<String> record;

    Worker(Store store, String id, String service, Consumer<String> record, Behaviour behaviour) throws IOException {
        this.store = store;
        this.id = id;
        this.service = service;
        this.record = record;
        this.behaviour = behaviour;
        server = new Http.Server(this::handle);
    }

    /** Writes the entry of this worker into the store. */
    void register() {
        store.put("servers/" + id, entry());
    }

    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.port() + "\",\"zone\":\"pecs-kozpont\","
            + "\"version\":\"v1\",\"slots\":6,\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + born + "}";
    }

    String load() {
        return "Server-Load: " + running.get() + ",0,6,100\r\n";
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        String expected = request.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.answer(421, "Instance-Id: " + id + "\r\n", "");
            return;
        }
        if (request.target().equals("/health")) {
            int status = state.equals("ready") ? 200 : 503;
            connection.answer(status, "Instance-Id: " + id + "\r\n" + load(), "");
            return;
        }
        String attempt = request.header("Attempt-Id");
        if (attempt == null) {
            connection.answer(400, "Not-Executed: 1\r\n", "");
            return;
        }
        running.incrementAndGet();
        record.accept("run id=" + attempt + " worker=" + id + " service=" + service + " " + request.method() + " " + request.target());
        try {
            behaviour.run(this, connection, request);
        } finally {
            running.decrementAndGet();
        }
    }

    /** Headers of an answer to REQUEST that the worker itself produced. */
    String sealed(Http.Message request) {
        return "Attempt-Id: " + request.header("Attempt-Id") + "\r\nServer-Seal: " + id + ".1\r\n" + load();
    }

    /** Answers after some work. */
    static Behaviour working(int millis) {
        return (worker, connection, request) -> {
            Thread.sleep(millis);
            connection.answer(200, worker.sealed(request), "done by " + worker.id + " for " + request.header("Attempt-Id") + "\n");
        };
    }
}
