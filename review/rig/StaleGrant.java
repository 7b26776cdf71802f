import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * DRAIN: in several rounds both prefill workers go dark, and two decode workers report that they drain. No request may
 * reach a worker later than drainMs after the store acknowledged that it drains.
 */
final class StaleGrant implements Rig.Case {
    private static final int DRAIN_MS = 2000;
    private static final int ROUNDS = 5;
    private static final int ROUND_MS = 15_000;
    private static final int DARK_MS = 3200;

    private record Arrival(String worker, String request, long at) {}

    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final Map<String, Long> drainingSince = new ConcurrentHashMap<>();
    private final Store store = new Store();
    private int engines;

    StaleGrant() throws Exception {}

    @Override
    public List<String> run() throws Exception {
        store.put("op/config", new Config().engineService("llm").route("/report/", "streaming", 14000, 900, "llm", 2).text(2));
        List<Engine> prefill = new ArrayList<>();
        List<Engine> decode = new ArrayList<>();
        for (int index = 0; index < 2; index++) prefill.add(start("prefill"));
        for (int index = 0; index < 6; index++) decode.add(start("decode"));
        List<Entry> entries = List.of(new Entry("front-1", "zone-0", store), new Entry("front-2", "zone-1", store));
        for (Entry entry : entries) entry.awaitReady();
        Thread.sleep(1500);
        List<Load> loads = new ArrayList<>();
        for (Entry entry : entries) {
            loads.add(new Load(entry, "POST", "/report/1", 14000, 134,
                "Model: m\r\nToken-Count: 3200,170\r\nLength-Hint: HINT\r\nPrompt-Prefix: 5c1e07a2:200,ID:3000\r\n"));
        }
        Thread.sleep(4000);
        for (int round = 0; round < ROUNDS; round++) {
            long beganAt = Rig.now();
            if (Rig.TROUBLE) prefill.forEach(engine -> engine.setDark(true));
            Rig.sleepUntil(beganAt + 50);
            for (int index = 0; index < 2; index++) drain(decode.remove(0));
            for (int index = 0; index < 2; index++) decode.add(start("decode"));
            Rig.sleepUntil(beganAt + DARK_MS);
            if (Rig.TROUBLE) prefill.forEach(engine -> engine.setDark(false));
            Rig.sleepUntil(beganAt + ROUND_MS);
        }
        loads.forEach(Load::stop);
        Thread.sleep(3000);

        long served = loads.stream().flatMap(load -> load.results.stream()).filter(result -> result.status == 200).count();
        Rig.record("streams answered with 200=" + served);
        if (served < 300) throw new IllegalStateException("too little traffic");
        return arrivals.stream().filter(a -> drainingSince.getOrDefault(a.worker, Long.MAX_VALUE / 2) + DRAIN_MS < a.at)
            .map(a -> "DRAIN: " + a.request + " reached " + a.worker + " " + (a.at - drainingSince.get(a.worker))
                + " ms after the store acknowledged that it drains")
            .toList();
    }

    private Engine start(String stage) throws Exception {
        Worker.Listener listener =
            (worker, request, at) -> arrivals.add(new Arrival(worker.id, request.header("Attempt-Id"), at));
        Engine engine = new Engine("i-" + stage + engines, "llm", "zone-" + engines % 3, stage, store, listener, NO_RUNS);
        engine.behaviour.eventMs = 50;
        engines++;
        return engine;
    }

    /** The worker reports that it drains, serves on for a while, and ends. */
    private void drain(Engine engine) {
        engine.reportDraining();
        drainingSince.put(engine.id, Rig.now());
        Rig.thread(engine.id + " drain", () -> {
            Thread.sleep(ROUND_MS - 2000);
            engine.end();
        });
    }

    private static final Engine.RunListener NO_RUNS = new Engine.RunListener() {
        @Override
        public void onBegin(Engine engine, String attempt, long at) {}

        @Override
        public void onEnd(Engine engine, String attempt, long at) {}
    };
}
