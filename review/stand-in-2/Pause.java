import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Many users come at once, and model workers that are full ask for a pause; one stream in four ends with its connection. */
final class Pause extends Case {
    private static final int CLIENTS = 30;
    private static final int BURST_CLIENTS = 36;
    private final List<Engine> engines = new ArrayList<>();
    private final Readers readers = new Readers(this, engines);

    public static void main(String[] arguments) {
        new Pause().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        store.put("op/config", config(7, List.of(streamRoute("r-digest", "/digest/", "jelentes-llm", 1, false)),
            List.of(engineService("jelentes-llm"))));
        for (int number = 1; number <= 3; number++) engine("i-prefill-" + number, "prefill");
        for (int number = 1; number <= 5; number++) engine("i-decode-" + number, "decode");
        Entry entry = entry("front-1").start();
        entry.awaitReady(20);
        record("the entry is ready");
        for (int client = 0; client < CLIENTS; client++) {
            readers.start(entry, Integer.MAX_VALUE);
            Thread.sleep(90);
        }
        sleepUntil(now() + 5);
        if (trouble) {
            record("many users come at once");
            for (int client = 0; client < BURST_CLIENTS; client++) {
                readers.start(entry, 2);
                Thread.sleep(40);
            }
        }
        sleepUntil(now() + 10);
        engines.forEach(engine -> record("worker " + engine.id + " rejected " + engine.rejected + " reservations with Retry-After: 1"));
        return readers.held();
    }

    private void engine(String id, String stage) throws Exception {
        Engine engine = new Engine(store, id, "jelentes-llm", stage, this::record);
        engine.unframedInterval = 4;
        engine.capacity = 11;
        engine.events = 69;
        engine.eventMillis = 40;
        engines.add(engine);
        engine.register();
    }
}
