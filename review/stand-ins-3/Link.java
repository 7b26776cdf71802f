import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * The link to a worker, as a proxy. While it is cut, it passes nothing on in either direction: neither bytes nor the
 * ends of connections nor new connections. What was held up passes when the link heals.
 */
final class Link {
    final int port;
    private final int workerPort;
    private final ServerSocket listener;
    private boolean isCut = false;

    Link(int workerPort) throws IOException {
        this.workerPort = workerPort;
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
        awaitPath();
        Socket far = new Socket();
        try {
            far.connect(new InetSocketAddress(Http.LOOPBACK, workerPort), 1_000);
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
            InputStream in = from.getInputStream();
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
