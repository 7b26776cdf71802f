import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * CONFIG: the entries' open connections to the store go silent, and right after it a config moves a route to another
 * service. A request sent later than configApplyMs after the acknowledgement may not be run by the old service; only
 * those are judged that are sent once the entries are in touch again.
 */
final class MovedRoute implements Rig.Case {
    private static final int CONTACT_MS = 3000;
    private static final int CONFIG_APPLY_MS = 2000;

    @Override
    public List<String> run() throws Exception {
        Map<String, String> services = new ConcurrentHashMap<>();
        Store store = new Store();
        Worker.Listener listener = (worker, request, at) -> services.put(request.header("Attempt-Id"), worker.service);
        store.put("op/config", config("desk").text(2));
        for (int index = 0; index < 3; index++) {
            new Worker("i-desk" + index, "desk", "zone-" + index, 6, 20, store, listener);
            new Worker("i-office" + index, "office", "zone-" + index, 6, 20, store, listener);
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
        Rig.sleepUntil(silentAt + 500);
        store.put("op/config", config("office").text(5));
        long acknowledgedAt = Rig.now();
        Rig.record("operator: version 5 moves /write/ and /look/ to office, acknowledged");
        Rig.sleepUntil(silentAt + CONTACT_MS + 3000);
        loads.forEach(Load::stop);
        Thread.sleep(1000);

        long judgedFrom = Math.max(acknowledgedAt + CONFIG_APPLY_MS, silentAt + CONTACT_MS);
        List<Client.Result> sent = loads.stream().flatMap(load -> load.results.stream()).toList();
        long byOld = sent.stream().filter(result -> "desk".equals(services.get(result.id))).count();
        long byNew = sent.stream().filter(result -> "office".equals(services.get(result.id))).count();
        Rig.record("run by the old service=" + byOld + " by the new one=" + byNew);
        if (byOld < 10 || byNew < 10) throw new IllegalStateException("too little traffic");
        return sent.stream().filter(result -> result.sentAt > judgedFrom && "desk".equals(services.get(result.id)))
            .map(result -> "CONFIG: " + result.id + ", sent " + (result.sentAt - acknowledgedAt)
                + " ms after the acknowledgement and " + (result.sentAt - silentAt)
                + " ms after the disruption, was run by the old service")
            .toList();
    }

    private static Config config(String service) {
        return new Config().plainService("desk").plainService("office")
            .route("/write/", "unsafe", 600, 121, service, 2).route("/look/", "safe", 600, 121, service, 2);
    }
}
