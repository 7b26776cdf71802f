import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** One worker of three fails part of the unsafe requests that it runs, and says so with 503 but without Not-Executed. */
final class FailedRun extends Case {
    private static final int CLIENTS = 6;
    private static final double SHARE = 0.45;
    private static final double SECONDS = 6.5;
    private final ConcurrentHashMap<String, String> runs = new ConcurrentHashMap<>();
    private final ConcurrentHashMap<String, Integer> actions = new ConcurrentHashMap<>();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger untrue = new AtomicInteger();
    private volatile boolean isFailing;

    public static void main(String[] arguments) {
        new FailedRun().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        store.put("op/config", config(7, List.of(route("r-write", "/write/", "unsafe", "klon-app", 600, 1)), List.of(service("klon-app"))));
        Random random = new Random(52);
        for (int number = 1; number <= 3; number++) {
            boolean isFaulty = number == 1;
            new Worker(store, "i-klon-" + number, "klon-app", this::record, (worker, connection, request) -> {
                runs.put(request.header("Attempt-Id"), worker.id);
                actions.merge(request.text(), 1, Integer::sum);
                Thread.sleep(20);
                boolean fails;
                synchronized (random) {
                    fails = isFaulty && isFailing && random.nextDouble() < SHARE;
                }
                connection.answer(fails ? 503 : 200, worker.sealed(request), fails ? "failed after the write\n" : "written\n");
            }).register();
        }
        Entry entry = entry("front-1").start();
        entry.awaitReady(20);
        record("the entry is ready");
        for (int client = 0; client < CLIENTS; client++) Http.daemon(() -> write(entry));
        sleepUntil(now() + 4);
        isFailing = trouble;
        if (trouble) record("worker i-klon-1 fails part of what it runs");
        sleepUntil(now() + SECONDS);
        isFailing = false;
        sleepUntil(now() + 3);
        long twice = actions.values().stream().filter(count -> count > 1).count();
        record(answered + " requests were answered, " + untrue + " with 503 though they had run; " + twice + " actions were carried out twice");
        return untrue.get() == 0;
    }

    private void write(Entry entry) {
        int number = 0;
        while (true) {
            String action = "clone " + Thread.currentThread().getId() + "-" + number++;
            try {
                Http.Message answer = attempt(entry, action);
                // A client repeats an unsafe request once, after a promise that it has not run.
                if (answer.status() == 503 || answer.status() == 429) attempt(entry, action);
                Thread.sleep(150);
            } catch (Exception failed) {
                record("client: " + failed);
            }
        }
    }

    private Http.Message attempt(Entry entry, String action) throws IOException {
        String id = newId();
        record("send id=" + id + " " + action);
        Http.Message answer = Http.call(entry.port, "POST", "/write/2f",
            "Host: ficu95.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 600\r\n", action, 2_000);
        answered.incrementAndGet();
        boolean isUntrue = (answer.status() == 503 || answer.status() == 429) && runs.containsKey(id);
        if (isUntrue) untrue.incrementAndGet();
        record("answer id=" + id + " " + answer.status() + " " + answer.text().trim() + (isUntrue ? ", though it has run" : ""));
        return answer;
    }
}
