import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A worker writes an answer without a length, is cut off from the entry, crashes behind the cut in the middle of the
 * answer, starts again under its id and registers; then the cut heals.
 */
final class CutUnframedAnswer extends Case {
    private static final int WORKERS = 4;
    private static final int ROUNDS = 6;
    private static final long WORK_MILLIS = 500;
    private static final long CUT_MILLIS = 1_800;
    private static final int DEADLINE_MILLIS = 3_000;

    private final List<Worker> workers = new ArrayList<>();
    private final BlockingQueue<Worker> running = new ArrayBlockingQueue<>(100);

    CutUnframedAnswer() throws Exception {
        super();
    }

    public static void main(String[] arguments) throws Exception {
        new CutUnframedAnswer().run();
    }

    @Override
    boolean play() throws Exception {
        for (int number = 1; number <= WORKERS; number++) {
            Worker worker = new Worker("i-desk-" + number);
            workers.add(worker);
            worker.start();
            worker.register();
        }
        putConfig(7,
            List.of(Json.of("name", "r-1", "host", HOST, "prefix", "/enrol/", "kind", "unsafe", "timeoutMs", 3000,
                "targetLatencyMs", 386, "priority", 2, "service", "desk", "maxAttempts", 1)),
            List.of(Json.of("name", "desk", "healthPath", "/health", "maxConnections", 96, "protocol", "h1", "tls",
                false)));
        Entry entry = startEntry("front-a-1", "zone-a");
        entry.awaitReady();
        int broken = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            if (!round(entry, String.format("%016x", round))) broken++;
        }
        record("rounds=" + ROUNDS + " with a success that is not the whole body=" + broken);
        return broken == 0;
    }

    private boolean round(Entry entry, String attempt) throws Exception {
        BlockingQueue<String> outcome = new ArrayBlockingQueue<>(1);
        Http.start(() -> outcome.add(send(entry, attempt)));
        Worker worker = running.poll(5, TimeUnit.SECONDS);
        if (worker == null) throw new IllegalStateException("no worker runs " + attempt);
        Store.sleep(50);
        if (trouble) crashBehindCut(worker);
        String result = outcome.poll(10, TimeUnit.SECONDS);
        record("client " + attempt + ": " + result);
        Store.sleep(1_000);
        return !"success, not the whole body".equals(result);
    }

    private void crashBehindCut(Worker worker) throws Exception {
        long cutAt = System.nanoTime();
        worker.link.cut();
        record("worker " + worker.id + " is cut off");
        worker.process.destroyForcibly().waitFor();
        record("worker " + worker.id + " is killed");
        worker.start();
        worker.register();
        Store.sleep(CUT_MILLIS - (System.nanoTime() - cutAt) / 1_000_000);
        worker.link.heal();
        record("the link to worker " + worker.id + " is healed");
    }

    private String send(Entry entry, String attempt) {
        try (Http.Connection connection = Http.Connection.to(entry.port, DEADLINE_MILLIS)) {
            record("client sends " + attempt);
            connection.write("POST /enrol/2f HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + attempt
                + "\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\nContent-Length: 4\r\n\r\nbook");
            Http.Message answer = connection.read();
            if (answer == null) return "closed without an answer";
            record("client gets " + answer.first + " seal=" + answer.header("Server-Seal") + " bytes="
                + answer.body.length + " for " + attempt);
            if (answer.status() != 200) return "status " + answer.status();
            return answer.text().equals(PlainWorker.bodyOf(attempt)) ? "success" : "success, not the whole body";
        } catch (EOFException cut) {
            return "an answer that is visibly cut off";
        } catch (IOException failure) {
            return "no answer: " + failure;
        }
    }

    private final class Worker {
        final String id;
        final Link link;
        private final int port;
        private long startedAt;
        Process process;

        Worker(String id) throws Exception {
            this.id = id;
            port = Http.freePort();
            link = new Link(port);
        }

        /** Starts the worker, anew under its id, and waits until it listens. */
        void start() throws Exception {
            process = PlainWorker.start(port, id, WORK_MILLIS);
            BufferedReader output = new BufferedReader(
                new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
            String first = output.readLine();
            if (!"listening".equals(first)) throw new IllegalStateException("worker " + id + ": " + first);
            startedAt = System.currentTimeMillis();
            record("worker " + id + " started as process " + process.pid());
            Http.start(() -> follow(output));
        }

        void register() {
            store.put("servers/" + id, Json.of("service", "desk", "address", Http.LOOPBACK + ":" + link.port, "zone",
                "zone-a", "version", "v1", "slots", 6, "state", "ready", "coldRemainingMs", 0, "sequence", 1, "born",
                startedAt));
            record("worker " + id + " registers, born " + startedAt);
        }

        private void follow(BufferedReader output) {
            try {
                for (String line = output.readLine(); line != null; line = output.readLine()) {
                    record("worker " + id + " " + line);
                    if (line.startsWith("runs")) running.add(this);
                }
            } catch (IOException ended) {
                // The process was killed.
            }
        }
    }
}
