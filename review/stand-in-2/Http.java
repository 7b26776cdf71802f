import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on loopback, with control over each connection. */
final class Http {
    private Http() {}

    /** A request or an answer. Header names are kept in lower case. */
    static final class Message {
        String first = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** One accepted connection. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;
        volatile boolean silent;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void answer(int status, String headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
            whole.write(bytes);
            write(whole.toByteArray());
        }

        /** A silent connection stays open, and nothing more is written on it. */
        synchronized void write(byte[] bytes) throws IOException {
            if (silent) return;
            out.write(bytes);
            out.flush();
        }

        void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }

        /** Closes with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException ignored) {
                // It is closed already.
            }
            close();
        }
    }

    interface Handler {
        void handle(Connection connection, Message request) throws Exception;
    }

    /** Accepts connections at a free port of 127.0.0.1, one thread each. */
    static final class Server {
        final ServerSocket socket;
        final Set<Connection> connections = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this(0, handler);
        }

        Server(int port, Handler handler) throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 500);
            daemon(() -> accept(handler));
        }

        int port() {
            return socket.getLocalPort();
        }

        void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
            connections.forEach(Connection::close);
        }

        private void accept(Handler handler) {
            while (!socket.isClosed()) {
                try {
                    Socket accepted = socket.accept();
                    accepted.setTcpNoDelay(true);
                    Connection connection = new Connection(accepted);
                    connections.add(connection);
                    daemon(() -> serve(connection, handler));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Connection connection, Handler handler) {
            try {
                while (true) {
                    Message request = read(connection.in, false);
                    if (request == null) break;
                    handler.handle(connection, request);
                }
            } catch (Exception ended) {
                // The connection has ended.
            } finally {
                connections.remove(connection);
                if (!connection.silent) connection.close();
            }
        }
    }

    static Thread daemon(Runnable action) {
        Thread thread = new Thread(null, action, "rig", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a message; null at the end of the connection. An answer without framing ends with the connection. */
    static Message read(InputStream in, boolean isAnswer) throws IOException {
        Message message = new Message();
        String line = readLine(in);
        if (line == null) return null;
        message.first = line;
        while (true) {
            line = readLine(in);
            if (line == null) throw new EOFException("within a head");
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        String length = message.header("content-length");
        String encoding = message.header("transfer-encoding");
        if (encoding != null) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) throw new EOFException("within a chunked body");
                int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (bytes > 0) body.write(exactly(in, bytes));
                readLine(in);
                if (bytes == 0) break;
            }
            message.body = body.toByteArray();
        } else if (length != null) {
            message.body = exactly(in, Integer.parseInt(length));
        } else if (isAnswer && message.status() >= 200 && message.status() != 204 && message.status() != 304) {
            message.body = in.readAllBytes();
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int bytes) throws IOException {
        byte[] body = in.readNBytes(bytes);
        if (body.length < bytes) throw new EOFException("within a body");
        return body;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) return null;
        while (next >= 0 && next != '\n') {
            line.write(next);
            next = in.read();
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** A connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;

        Client(int port, int connectMillis) throws IOException {
            socket.connect(new InetSocketAddress("127.0.0.1", port), connectMillis);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String head, byte[] body) throws IOException {
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
            whole.write(body);
            socket.getOutputStream().write(whole.toByteArray());
            socket.getOutputStream().flush();
        }

        Message receive(int millis) throws IOException {
            socket.setSoTimeout(millis);
            return read(in, true);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed already.
            }
        }
    }

    /** One request on a connection of its own. */
    static Message call(int port, String method, String target, String headers, String body, int millis) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        try (Client client = new Client(port, 1_000)) {
            String head = method + " " + target + " HTTP/1.1\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n";
            client.send(head, bytes);
            return client.receive(millis);
        }
    }
}
