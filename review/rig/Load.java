import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Steady traffic to an entry: one request after the other at even intervals, each on a connection of its own. */
final class Load {
    final List<Client.Result> results = new CopyOnWriteArrayList<>();
    private volatile boolean isRunning = true;

    Load(Entry entry, String method, String target, int deadlineMs, int everyMs) {
        this(entry, method, target, deadlineMs, everyMs, "");
    }

    /**
     * [headers] are whole lines that each end with CRLF. ID in them stands for the id of the request, HINT for the
     * length that its client expects.
     */
    Load(Entry entry, String method, String target, int deadlineMs, int everyMs, String headers) {
        Rig.thread("load", () -> {
            long next = Rig.now();
            while (isRunning) {
                Rig.sleepUntil(next);
                next += everyMs;
                Rig.thread("client", () -> send(entry, method, target, deadlineMs, headers));
            }
        });
    }

    private void send(Entry entry, String method, String target, int deadlineMs, String headers) throws Exception {
        String id = Client.newId();
        String own = headers.replace("ID", id).replace("HINT", String.valueOf(Lengths.hintOf(id)));
        Client.Result result = Client.call(entry.port, id, method, target,
            "Deadline-Ms: " + deadlineMs + "\r\n" + own, deadlineMs + 1000);
        results.add(result);
        Rig.record("client: " + result.id + " " + method + " " + target + " sent to " + entry.name + " at "
            + result.sentAt / 1000.0 + ", ended with " + result.status + " " + result.summary());
    }

    void stop() {
        isRunning = false;
    }
}
