import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * TWICE: workers preempt streams that have outgrown their reservation, and one decode worker of four does not drop a
 * request when its connection closes. No request may go on at another worker while the worker before still works on it 400 ms later.
 */
final class SilentStream implements Rig.Case {
    private static final int OVERLAP_MS = 400;
    private static final int PREEMPTED_MS = 2200;

    /** The work of one worker on one request; [endedAt] is 0 while it goes on. */
    private static final class Work {
        final Engine engine;
        final String attempt;
        final long beganAt;
        volatile long endedAt;

        Work(Engine engine, String attempt, long beganAt) {
            this.engine = engine;
            this.attempt = attempt;
            this.beganAt = beganAt;
        }

        boolean isGoingOn(long at) {
            return beganAt <= at && (endedAt == 0 || endedAt > at);
        }
    }

    private static final class Works implements Engine.RunListener {
        final List<Work> all = new CopyOnWriteArrayList<>();

        @Override
        public void onBegin(Engine engine, String attempt, long at) {
            all.add(new Work(engine, attempt, at));
        }

        @Override
        public void onEnd(Engine engine, String attempt, long at) {
            all.stream().filter(work -> work.engine == engine && work.attempt.equals(attempt) && work.endedAt == 0)
                .forEach(work -> work.endedAt = at);
        }
    }

    @Override
    public List<String> run() throws Exception {
        Works works = new Works();
        Store store = new Store();
        store.put("op/config", new Config().engineService("llm").resumableRoute("/report/", 14000, 900, "llm", 2).text(2));
        for (int index = 0; index < 4; index++) {
            new Engine("i-prefill" + index, "llm", "zone-" + index % 3, "prefill", store, (w, r, at) -> {}, works);
            Engine decode = new Engine("i-decode" + index, "llm", "zone-" + index % 3, "decode", store, (w, r, at) -> {}, works);
            decode.behaviour.dropsOnClose = index != 0;
            if (Rig.TROUBLE) decode.behaviour.preemptedMs = PREEMPTED_MS;
        }
        List<Entry> entries = List.of(new Entry("front-1", "zone-0", store), new Entry("front-2", "zone-1", store));
        for (Entry entry : entries) entry.awaitReady();
        Thread.sleep(1500);
        List<Load> loads = new ArrayList<>();
        for (Entry entry : entries) {
            loads.add(new Load(entry, "POST", "/report/1", 14000, 250,
                "Model: m\r\nToken-Count: 3200,170\r\nLength-Hint: HINT\r\nPrompt-Prefix: 5c1e07a2:200,ID:3000\r\n"));
        }
        Thread.sleep(60_000);
        loads.forEach(Load::stop);
        Thread.sleep(9000);

        long served = loads.stream().flatMap(load -> load.results.stream()).filter(result -> result.status == 200).count();
        Rig.record("streams answered with 200=" + served + " runs=" + works.all.size());
        if (served < 100) throw new IllegalStateException("too little traffic");
        List<String> breaches = new ArrayList<>();
        for (Work later : works.all) {
            for (Work earlier : works.all) {
                boolean isSame = earlier.attempt.equals(later.attempt) && earlier.engine != later.engine;
                if (!isSame || earlier.beganAt >= later.beganAt) continue;
                if (!earlier.isGoingOn(later.beganAt + OVERLAP_MS)) continue;
                breaches.add("TWICE: " + later.attempt + " went on at " + later.engine.id + ", and " + earlier.engine.id
                    + " still worked on it " + (earlier.endedAt - later.beganAt) + " ms later");
            }
        }
        return breaches;
    }
}
