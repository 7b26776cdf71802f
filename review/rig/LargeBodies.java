import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * CONFIG: clients send requests with bodies within the config's `maxBodyBytes`, many within some seconds. Of the small
 * requests that are unanswered at their route's timeoutMs, no more than half may have no answer half a second later.
 */
final class LargeBodies implements Rig.Case {
    /** Large requests to each of the two entries, and the time between two of them: 40 a second in all, for 3 s. */
    private static final int UPLOADS = 60;
    private static final int EVERY_MS = 50;

    /** A client sends its body in pieces, over a link of 32 Mbit/s: one second for 4,000,000 bytes. */
    private static final int PIECE_BYTES = 100_000;
    private static final int PIECE_MS = 25;
    private static final int BODY_BYTES = 4_000_000;
    private static final int TIMEOUT_MS = 600;
    private static final int SLACK_MS = 500;
    private static final int LEAST_COUNTED = 8;

    private final AtomicInteger answered = new AtomicInteger();

    @Override
    public List<String> run() throws Exception {
        Store store = new Store();
        store.put("op/config", new Config().plainService("desk").route("/write/", "unsafe", TIMEOUT_MS, 121, "desk", 2)
            .route("/look/", "safe", TIMEOUT_MS, 121, "desk", 2).text(2));
        for (int index = 0; index < 3; index++) {
            new Worker("i-desk" + index, "desk", "zone-" + index, 6, 20, store, (worker, request, at) -> {});
        }
        List<Entry> entries = List.of(new Entry("front-1", "zone-0", store), new Entry("front-2", "zone-1", store));
        for (Entry entry : entries) entry.awaitReady();
        Thread.sleep(1500);
        List<Load> loads = new ArrayList<>();
        for (Entry entry : entries) {
            loads.add(new Load(entry, "POST", "/write/1", 3000, 140));
            loads.add(new Load(entry, "GET", "/look/1", 3000, 340));
        }
        Thread.sleep(5000);
        long burstAt = Rig.now();
        Rig.record("clients: " + UPLOADS + " requests with bodies of " + BODY_BYTES + " bytes to each entry, one each " + EVERY_MS + " ms");
        if (Rig.TROUBLE) {
            byte[] body = new byte[BODY_BYTES];
            for (int index = 0; index < UPLOADS; index++) {
                Rig.sleepUntil(burstAt + (long) index * EVERY_MS);
                for (Entry entry : entries) Rig.thread("upload", () -> upload(entry, body));
            }
        }
        Thread.sleep(20_000);
        loads.forEach(Load::stop);
        Thread.sleep(5000);

        List<Client.Result> sent = loads.stream().flatMap(load -> load.results.stream()).toList();
        if (sent.size() < 100) throw new IllegalStateException("too little traffic");
        List<Client.Result> unanswered = sent.stream().filter(result -> time(result) > TIMEOUT_MS).toList();
        List<Client.Result> late = sent.stream().filter(result -> time(result) > TIMEOUT_MS + SLACK_MS).toList();
        Rig.record("small requests=" + sent.size() + " unanswered after " + TIMEOUT_MS + " ms=" + unanswered.size()
            + ", half a second later=" + late.size() + "; longest "
            + sent.stream().mapToLong(LargeBodies::time).max().orElse(0) + " ms; large requests answered=" + answered);
        if (unanswered.size() < LEAST_COUNTED || late.size() * 2 <= unanswered.size()) return List.of();
        return late.stream().map(result -> "CONFIG: " + result.id + ", sent " + (result.sentAt - burstAt)
            + " ms after the burst began, had no answer after " + (TIMEOUT_MS + SLACK_MS) + " ms, but " + result.status
            + " after " + time(result) + " ms").toList();
    }

    private void upload(Entry entry, byte[] body) throws Exception {
        Client.Result result =
            Client.upload(entry.port, "/write/2", "Deadline-Ms: 3000\r\n", body, PIECE_BYTES, PIECE_MS, 5000);
        if (result.status != 0) answered.incrementAndGet();
        Rig.record("client: large request " + result.id + " to " + entry.name + " ended with " + result.status + " after "
            + (result.endedAt - result.sentAt) + " ms");
    }

    private static long time(Client.Result result) {
        return result.endedAt - result.sentAt;
    }
}
