import java.io.IOException;
import java.io.OutputStream;
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
        String body = "";

        Result(String id, long sentAt) {
            this.id = id;
            this.sentAt = sentAt;
        }

        /** The body on one line; of a stream its number of events. */
        String summary() {
            long events = body.lines().filter(line -> line.startsWith("id: ")).count();
            return events > 0 ? events + " events" : body.strip();
        }
    }

    private Client() {}

    static String newId() {
        return String.format("%016x", LAST.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    /** Sends a request with [headers], whole lines that each end with CRLF, and returns its outcome. */
    static Result call(int port, String method, String target, String headers, int timeoutMs) throws IOException {
        return call(port, newId(), method, target, headers, timeoutMs);
    }

    static Result call(int port, String id, String method, String target, String headers, int timeoutMs)
        throws IOException {
        return send(port, id, method, target, headers, new byte[0], 1, 0, timeoutMs);
    }

    /** Sends a request with a [body] in pieces, one each [pieceMs]. */
    static Result upload(int port, String target, String headers, byte[] body, int pieceBytes, int pieceMs,
        int timeoutMs) throws IOException {
        return send(port, newId(), "POST", target, headers, body, pieceBytes, pieceMs, timeoutMs);
    }

    private static Result send(int port, String id, String method, String target, String headers, byte[] body,
        int pieceBytes, int pieceMs, int timeoutMs) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(timeoutMs);
            Result result = new Result(id, Rig.now());
            String head = method + " " + target + " HTTP/1.1\r\nHost: entry.example\r\nAttempt-Id: " + id
                + "\r\nContent-Length: " + body.length + "\r\n" + headers + "\r\n";
            try {
                OutputStream out = socket.getOutputStream();
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                for (int from = 0; from < body.length; from += pieceBytes) {
                    Rig.sleepUntil(result.sentAt + (long) from / pieceBytes * pieceMs);
                    out.write(body, from, Math.min(pieceBytes, body.length - from));
                }
                Http.Message answer = Http.read(Http.buffered(socket.getInputStream()));
                if (answer != null) {
                    result.status = answer.status();
                    result.body = answer.text();
                }
            } catch (IOException lost) {
                result.status = 0;
            } catch (InterruptedException interrupted) {
                throw new IOException(interrupted);
            }
            result.endedAt = Rig.now();
            return result;
        }
    }
}
