import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Model workers crash while they write streams that may be resumed, with a check mark in their text. */
final class ResumedText extends Case {
    private static final int EVENTS = 69;
    private static final Pattern EVENT_ID = Pattern.compile("(?:^|\n\n)id: (\\d+)\n");

    /** Holds the check mark U+2705, which is E2 9C 85 in UTF-8. */
    private static final String TEXT = "clone written \u2705id: 1";
    private final List<Engine> engines = new ArrayList<>();
    private final Set<String> twice = ConcurrentHashMap.newKeySet();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger cut = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean isOver;

    public static void main(String[] arguments) {
        new ResumedText().main(Path.of(arguments[0]));
    }

    @Override
    boolean run() throws Exception {
        store.put("op/config", config(7, List.of(streamRoute("r-report", "/report/", "jelentes-llm", 2, true)),
            List.of(engineService("jelentes-llm"))));
        for (int number = 1; number <= 3; number++) engine("i-prefill-" + number, "prefill");
        for (int number = 1; number <= 5; number++) engine("i-decode-" + number, "decode");
        Entry entry = entry("front-1").start();
        entry.awaitReady(20);
        record("the entry is ready");
        for (int client = 0; client < 20; client++) {
            Http.daemon(() -> read(entry));
            Thread.sleep(130);
        }
        sleepUntil(now() + 4);
        for (int round = 0; round < 2; round++) {
            if (trouble) engines.get(3 + round).crash(3_000);
            sleepUntil(now() + 5);
        }
        isOver = true;
        record(whole + " streams came whole, " + cut + " were cut, " + refused + " requests were refused; in " + twice.size()
            + " streams pieces came twice or were missing");
        return twice.isEmpty();
    }

    private void engine(String id, String stage) throws Exception {
        Engine engine = new Engine(store, id, "jelentes-llm", stage, this::record);
        engine.events = EVENTS;
        engine.eventMillis = 40;
        engine.text = TEXT;
        engines.add(engine);
        engine.register();
    }

    private void read(Entry entry) {
        while (!isOver) {
            String id = newId();
            try {
                Http.Message answer = Http.call(entry.port, "POST", "/report/2f", "Host: ficu95.example\r\nAttempt-Id: " + id
                    + "\r\nModel: m\r\nToken-Count: 3200,69\r\nPrompt-Prefix: 5c1e07a2:200," + id + ":3000\r\nDeadline-Ms: 14000\r\n",
                    "x".repeat(3000), 15_000);
                if (answer == null) throw new IOException("the connection was closed before an answer");
                if (answer.status() == 200) check(id, answer.text());
                else refused.incrementAndGet();
                if (answer.status() != 200) Thread.sleep(300);
            } catch (IOException failed) {
                cut.incrementAndGet();
                record("answer id=" + id + " not whole: " + failed);
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private void check(String id, String body) {
        List<Integer> ids = new ArrayList<>();
        Matcher found = EVENT_ID.matcher(body);
        for (int at = 0; found.find(at); at = found.end() - 1) ids.add(Integer.parseInt(found.group(1)));
        boolean isWhole = ids.size() == EVENTS;
        for (int index = 0; isWhole && index < EVENTS; index++) isWhole = ids.get(index) == index + 1;
        if (isWhole) {
            whole.incrementAndGet();
        } else {
            twice.add(id);
        }
        record("answer id=" + id + " 200 " + (isWhole ? "whole" : "pieces " + ids));
    }
}
