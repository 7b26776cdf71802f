import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * DRAIN: the entries' open connections to the store go silent; 3.1 s later, when the entries are in touch again, a
 * worker's entry is removed. No request may reach that worker later than drainMs after the store acknowledged that.
 */
final class GoneWorker implements Rig.Case {
    private static final int CONTACT_MS = 3000;
    private static final int DRAIN_MS = 2000;

    private record Run(String worker, String request, long at) {}

    @Override
    public List<String> run() throws Exception {
        List<Run> runs = new CopyOnWriteArrayList<>();
        Store store = new Store();
        Worker.Listener listener = (worker, request, at) -> runs.add(new Run(worker.id, request.header("Attempt-Id"), at));
        store.put("op/config", new Config().plainService("desk").route("/write/", "unsafe", 600, 121, "desk", 2)
            .route("/look/", "safe", 600, 121, "desk", 2).text(2));
        List<Worker> workers = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            workers.add(new Worker("i-desk" + index, "desk", "zone-" + index, 6, 20, store, listener));
        }
        List<Entry> entries = List.of(new Entry("front-1", "zone-0", store), new Entry("front-2", "zone-1", store));
        for (Entry entry : entries) entry.awaitReady();
        Thread.sleep(1500);
        List<Load> loads = new ArrayList<>();
        for (Entry entry : entries) {
            loads.add(new Load(entry, "POST", "/write/1", 600, 70));
            loads.add(new Load(entry, "GET", "/look/1", 600, 170));
        }
        Thread.sleep(2000);

        long silentAt = Rig.now();
        if (Rig.TROUBLE) store.silenceOpenConnections();
        Rig.sleepUntil(silentAt + CONTACT_MS + 100);
        Worker leaving = workers.get(0);
        leaving.leave();
        long leftAt = Rig.now();
        Rig.sleepUntil(leftAt + 5000);
        loads.forEach(Load::stop);
        Thread.sleep(1000);
        leaving.end();

        long before = runs.stream().filter(run -> run.worker.equals(leaving.id) && run.at < leftAt).count();
        long served = loads.stream().flatMap(load -> load.results.stream()).filter(result -> result.status == 200).count();
        Rig.record("runs=" + runs.size() + " at the worker before it left=" + before + " answered 200=" + served);
        if (before < 10 || served < 100) throw new IllegalStateException("too little traffic");
        return runs.stream().filter(run -> run.worker.equals(leaving.id) && run.at > leftAt + DRAIN_MS)
            .map(run -> "DRAIN: " + run.request + " reached " + run.worker + " " + (run.at - leftAt)
                + " ms after its leaving was acknowledged, " + (run.at - silentAt) + " ms after the disruption")
            .toList();
    }
}
