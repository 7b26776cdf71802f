import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A link as a proxy. While it is cut, it passes nothing on in either direction: neither bytes nor the ends of connections
 * nor new connections. What was held up passes when the link heals; a new connection tries again 1, 3 and 7 seconds after
 * its first packet, as TCP does.
 */
final class Link {
    private static final int LOOKED_AT_BYTES = 64;

    final int port;
    private final int farPort;
    private final Map<Socket, PushbackInputStream> inputs = new ConcurrentHashMap<>();
    private final ServerSocket listener;
    private boolean isCut = false;
    private String awaitedText;
    private boolean isAttempted = false;

    Link(int farPort) throws IOException {
        this.farPort = farPort;
        listener = new ServerSocket(0, 128, InetAddress.getByName(Http.LOOPBACK));
        port = listener.getLocalPort();
        Http.start(this::accept);
    }

    synchronized void cut() {
        isCut = true;
    }

    synchronized void heal() {
        isCut = false;
        notifyAll();
    }

    /** Waits until a connection is opened during the cut for a request that begins with {@code text}. */
    synchronized void awaitAttempt(String text, long timeoutMillis) throws InterruptedException {
        awaitedText = text;
        isAttempted = false;
        long end = System.nanoTime() / 1_000_000 + timeoutMillis;
        for (long left = timeoutMillis; !isAttempted && left > 0; left = end - System.nanoTime() / 1_000_000) wait(left);
    }

    /** Looks at what waits to be passed on, without passing it on. */
    private void tellAttempt(Socket near) {
        Store.sleep(20);
        try {
            PushbackInputStream in = inputs.computeIfAbsent(near, Link::open);
            byte[] first = new byte[Math.min(in.available(), LOOKED_AT_BYTES)];
            int count = first.length == 0 ? 0 : in.read(first);
            if (count > 0) in.unread(first, 0, count);
            synchronized (this) {
                if (awaitedText != null && new String(first, StandardCharsets.US_ASCII).startsWith(awaitedText)) {
                    isAttempted = true;
                    notifyAll();
                }
            }
        } catch (IOException closed) {
            // The connection was given up.
        }
    }

    private static PushbackInputStream open(Socket socket) {
        try {
            return new PushbackInputStream(socket.getInputStream(), LOOKED_AT_BYTES);
        } catch (IOException closed) {
            return new PushbackInputStream(InputStream.nullInputStream(), LOOKED_AT_BYTES);
        }
    }

    private synchronized boolean isCut() {
        return isCut;
    }

    private synchronized void awaitPath() {
        try {
            while (isCut) wait();
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                Http.start(() -> join(near));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void join(Socket near) {
        if (isCut()) Http.start(() -> tellAttempt(near));
        for (int pause = 1_000; isCut(); pause *= 2) Store.sleep(pause);
        Socket far = new Socket();
        try {
            far.connect(new InetSocketAddress(Http.LOOPBACK, farPort), 1_000);
            far.setTcpNoDelay(true);
        } catch (IOException refused) {
            reset(near);
            return;
        }
        Http.start(() -> pass(near, far));
        pass(far, near);
    }

    /** Passes bytes and the end of {@code from} on to {@code to}; a reset as a reset. */
    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try {
            PushbackInputStream looked = inputs.remove(from);
            InputStream in = looked == null ? from.getInputStream() : looked;
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitPath();
                out.write(buffer, 0, count);
            }
            awaitPath();
            to.shutdownOutput();
        } catch (IOException broken) {
            awaitPath();
            reset(to);
            reset(from);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException ignored) {
            // It is closed in any case.
        }
    }
}
