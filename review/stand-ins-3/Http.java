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
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 over blocking sockets: messages, a server with a thread for each connection, and a client connection. */
final class Http {
    static final String LOOPBACK = "127.0.0.1";

    private Http() {
    }

    /** A request or an answer. {@code first} is its first line. */
    static final class Message {
        String first;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] header : headers) if (header[0].equalsIgnoreCase(name)) return header[1];
            return null;
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

    /** Handles the requests of one connection. */
    interface Handler {
        /** Answers {@code request} on {@code connection}; returns whether the connection is kept. */
        boolean handle(Message request, Connection connection) throws Exception;
    }

    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new java.io.BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Connection to(int port, int timeoutMillis) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            return new Connection(socket);
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Writes an answer with a length; {@code headers} are lines without their ends. */
        void answer(int status, String body, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            for (String header : headers) head.append(header).append("\r\n");
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.write(bytes);
            out.write(whole.toByteArray());
            out.flush();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Reads the head of a message; null at the end of the connection. */
        Message readHead() throws IOException {
            Message message = new Message();
            String line = readLine();
            if (line == null) return null;
            message.first = line;
            for (line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                message.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
            }
            if (line == null) throw new EOFException("the head is not whole");
            return message;
        }

        /** Reads a whole message with a length or in chunks, or without a body. */
        Message read() throws IOException {
            Message message = readHead();
            if (message != null) message.body = readBody(message);
            return message;
        }

        byte[] readBody(Message message) throws IOException {
            String length = message.header("Content-Length");
            if (length != null) return readBytes(Integer.parseInt(length));
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                for (byte[] chunk = readChunk(); chunk != null; chunk = readChunk()) body.write(chunk);
            }
            return body.toByteArray();
        }

        /** Reads the next chunk; null at the last one. */
        byte[] readChunk() throws IOException {
            String size = readLine();
            if (size == null) throw new EOFException("the chunks are not whole");
            byte[] chunk = readBytes(Integer.parseInt(size.trim(), 16));
            readLine();
            return chunk.length == 0 ? null : chunk;
        }

        private byte[] readBytes(int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) throw new EOFException("the body is not whole");
            return bytes;
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) return null;
                if (next != '\r') line.write(next);
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // It is closed in any case.
            }
        }
    }

    /** Accepts connections on a loopback port. */
    static final class Server implements AutoCloseable {
        final int port;
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Connection> open = ConcurrentHashMap.newKeySet();

        Server(int port, Handler handler) throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), port), 512);
            this.port = listener.getLocalPort();
            this.handler = handler;
            start(this::accept);
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Connection connection = new Connection(listener.accept());
                    open.add(connection);
                    start(() -> serve(connection));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Connection connection) {
            try (connection) {
                for (Message request = connection.read(); request != null; request = connection.read()) {
                    if (!handler.handle(request, connection)) return;
                }
            } catch (Exception ended) {
                // The connection ends.
            } finally {
                open.remove(connection);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            open.forEach(Connection::close);
        }
    }

    static void start(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }
}
