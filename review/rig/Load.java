import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Steady traffic to an entry: one request after the other at even intervals, each on a connection of its own. */
final class Load {
    final List<Client.Result> results = new CopyOnWriteArrayList<>();
    private volatile boolean isRunning = true;

    Load(Entry entry, String method, String target, int deadlineMs, int everyMs) {
        Rig.thread("load", () -> {
            long next = Rig.now();
            while (isRunning) {
                Rig.sleepUntil(next);
                next += everyMs;
                Rig.thread("client", () -> send(entry, method, target, deadlineMs));
            }
        });
    }

    private void send(Entry entry, String method, String target, int deadlineMs) throws Exception {
        Client.Result result =
            Client.call(entry.port, method, target, "Deadline-Ms: " + deadlineMs + "\r\n", deadlineMs + 1000);
        results.add(result);
        Rig.record("client: " + result.id + " " + method + " " + target + " sent to " + entry.name + " at "
            + result.sentAt / 1000.0 + ", ended with " + result.status + " " + result.body);
    }

    void stop() {
        isRunning = false;
    }
}
