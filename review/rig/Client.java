import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Sends requests of clients to an entry, each on a new connection, and waits for the answer. */
final class Client {
    private static final AtomicLong LAST = new AtomicLong(System.nanoTime() & 0xffffff);

    /** What became of a request: the status of its answer, 0 for none. */
    static final class Result {
        final String id;
        final long sentAt;
        long endedAt;
        int status;
        String seal = "";
        String body = "";

        Result(String id, long sentAt) {
            this.id = id;
            this.sentAt = sentAt;
        }
    }

    private Client() {}

    static String newId() {
        return String.format("%016x", LAST.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Sends a request with [headers], whole lines that each end with CRLF, and returns its outcome. */
    static Result call(int port, String method, String target, String headers, int timeoutMs) throws IOException {
        return call(port, method, target, headers, "", timeoutMs);
    }

    static Result call(int port, String method, String target, String headers, String body, int timeoutMs)
        throws IOException {
        String id = newId();
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(timeoutMs);
            Result result = new Result(id, Rig.now());
            String head = method + " " + target + " HTTP/1.1\r\nHost: entry.example\r\nAttempt-Id: " + id
                + "\r\nContent-Length: " + body.length() + "\r\n" + headers + "\r\n" + body;
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            try {
                Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
                if (answer != null) {
                    result.status = answer.status();
                    result.seal = answer.header("Server-Seal") == null ? "" : answer.header("Server-Seal");
                    result.body = answer.text();
                }
            } catch (IOException lost) {
                result.status = 0;
            }
            result.endedAt = Rig.now();
            return result;
        }
    }
}
