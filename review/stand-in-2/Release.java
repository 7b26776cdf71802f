import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Model workers whose streams end with their connections are replaced one after the other. */
final class Release extends Case {
    private static final int DRAIN_MILLIS = 2_000;
    private final List<Engine> engines = new ArrayList<>();
    private final Readers readers = new Readers(this, engines);

    public static void main(String[] arguments) {
        new Release().main(Path.of(arguments[0]));
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
        for (int client = 0; client < 20; client++) {
            readers.start(entry, Integer.MAX_VALUE);
            Thread.sleep(130);
        }
        sleepUntil(now() + 6);
        for (int round = 1; round <= 2; round++) {
            for (int number = 1; number <= 4; number++) replace(round, number);
        }
        Thread.sleep(6_000);
        return readers.held();
    }

    /** The new worker starts first, then the old one drains. */
    private void replace(int round, int number) throws Exception {
        if (!trouble) {
            Thread.sleep(7_000);
            return;
        }
        engine("i-decode-" + round + "-" + number, "decode");
        Thread.sleep(1_000);
        String old = round == 1 ? "i-decode-" + number : "i-decode-1-" + number;
        engines.stream().filter(engine -> engine.id.equals(old)).findFirst().orElseThrow().leave(DRAIN_MILLIS + 500);
    }

    private void engine(String id, String stage) throws Exception {
        Engine engine = new Engine(store, id, "jelentes-llm", stage, this::record);
        engine.unframedInterval = 1;
        engine.events = 100;
        engine.eventMillis = 60;
        engines.add(engine);
        engine.register();
    }
}
