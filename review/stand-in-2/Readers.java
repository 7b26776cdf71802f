import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that ask for streams, one after the other on a connection that each keeps, and count what is lost. */
final class Readers {
    private final Case owner;
    private final List<Engine> engines;
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean isOver;

    Readers(Case owner, List<Engine> engines) {
        this.owner = owner;
        this.engines = engines;
    }

    /** Starts a client that asks for COUNT streams. */
    void start(Entry entry, int count) {
        Http.daemon(() -> {
            int asked = 0;
            while (!isOver && asked < count) {
                try (Http.Client client = new Http.Client(entry.port, 1_000)) {
                    while (asked++ < count && ask(client)) continue;
                } catch (IOException failed) {
                    if (!isOver) owner.record("client: " + failed);
                }
            }
        });
    }

    /** Asks for a stream; returns whether the connection can be used again. */
    private boolean ask(Http.Client client) throws IOException {
        String id = owner.newId();
        client.send("POST /digest/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id
            + "\r\nModel: m\r\nToken-Count: 3200,100\r\nPrompt-Prefix: 5c1e07a2:200," + id
            + ":3000\r\nDeadline-Ms: 14000\r\nContent-Length: 3000\r\n\r\n", new byte[3000]);
        Http.Message answer = null;
        String fault = "the connection was closed before an answer";
        try {
            answer = client.receive(15_000);
        } catch (IOException ended) {
            fault = ended.toString();
        }
        if (isOver) return false;
        if (answer == null) {
            boolean isWritten = engines.stream().anyMatch(engine -> engine.written.contains(id));
            owner.record("answer id=" + id + " not whole: " + fault + "; its worker wrote all of it: " + isWritten);
            if (isWritten) lost.incrementAndGet();
            return false;
        }
        owner.record("answer id=" + id + " " + answer.status());
        if (answer.status() == 200) {
            whole.incrementAndGet();
        } else {
            refused.incrementAndGet();
            pause(answer.header("Retry-After"));
        }
        return !"close".equalsIgnoreCase(answer.header("Connection"));
    }

    private void pause(String seconds) {
        try {
            Thread.sleep(seconds == null ? 300 : (long) (Double.parseDouble(seconds) * 1000));
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    /** Whether the entry closed three kept connections at most without the answer that a sound worker had given. */
    boolean held() {
        isOver = true;
        owner.record(whole + " streams reached their clients whole, " + refused + " requests were refused; " + lost
            + " streams were written to their end by their workers, and the entry closed the kept connection without a whole answer");
        return lost.get() <= 3;
    }
}
