import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Runs a case: {@code Rig CLASS FOLDER}, in the root of the repository. Exits with 1 if the rule was broken, 0 if it
 * held, and 2 if the case could not run. With TROUBLE=0 in the environment the case leaves its disruption out.
 */
final class Rig {
    /** A case. It returns the breaches of the rule that it saw; the case could not run if it throws. */
    interface Case {
        List<String> run() throws Exception;
    }

    interface Action {
        void run() throws Exception;
    }

    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final long STARTED = System.nanoTime();
    private static final long LIMIT_MS = 110_000;
    private static PrintWriter record;

    private Rig() {}

    public static void main(String[] arguments) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[1], "record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(Entry::endAll));
        thread("limit", () -> {
            Thread.sleep(LIMIT_MS);
            end(2, "the case took too long");
        });
        try {
            record("trouble=" + (TROUBLE ? 1 : 0));
            List<String> breaches = ((Case) Class.forName(arguments[0]).getDeclaredConstructor().newInstance()).run();
            breaches.stream().limit(20).forEach(breach -> record("BREACH " + breach));
            end(breaches.isEmpty() ? 0 : 1, breaches.size() + " breaches");
        } catch (Throwable failure) {
            failure.printStackTrace();
            end(2, "the case could not run: " + failure);
        }
    }

    private static void end(int status, String why) {
        Entry.endAll();
        record("exit " + status + ": " + why);
        System.out.println("exit " + status + ": " + why);
        Runtime.getRuntime().halt(status);
    }

    /** Milliseconds since the start, on the steady clock. */
    static long now() {
        return (System.nanoTime() - STARTED) / 1_000_000;
    }

    static void sleepUntil(long moment) throws InterruptedException {
        long left = moment - now();
        if (left > 0) Thread.sleep(left);
    }

    static void record(String line) {
        synchronized (record) {
            record.println(String.format(Locale.ROOT, "%8.3f ", now() / 1000.0) + line);
        }
    }

    static Thread thread(String name, Action action) {
        Thread thread = new Thread(null, () -> {
            try {
                action.run();
            } catch (java.io.IOException ended) {
                // The peer ended the connection.
            } catch (Exception failure) {
                record(name + " ended: " + failure);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Free ports of the loopback address. */
    static int[] freePorts(int count) throws Exception {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
        }
        int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
        for (ServerSocket socket : sockets) socket.close();
        return ports;
    }
}
