import java.util.List;

/**
 * A worker of a plain service in a process of its own. Its answers have no length and end with their connection; half
 * of the body is written at once and the rest when the work is done. Arguments: port, id, milliseconds of work.
 */
final class PlainWorker {
    static final int BODY_BYTES = 800;

    private PlainWorker() {
    }

    public static void main(String[] arguments) throws Exception {
        String id = arguments[1];
        long workMillis = Long.parseLong(arguments[2]);
        new Http.Server(Integer.parseInt(arguments[0]), (request, connection) -> {
            if (request.target().equals("/health")) {
                connection.answer(200, "", "Instance-Id: " + id, "Server-Load: 0,0,6");
                return true;
            }
            String attempt = request.header("Attempt-Id");
            if (!id.equals(request.header("Expect-Instance"))) {
                connection.answer(421, "", "Instance-Id: " + id);
                return true;
            }
            System.out.println("runs " + attempt);
            String body = bodyOf(attempt);
            connection.write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt + "\r\nServer-Seal: seal." + id + "." + attempt
                + "\r\nConnection: close\r\n\r\n" + body.substring(0, BODY_BYTES / 2));
            Store.sleep(workMillis);
            connection.write(body.substring(BODY_BYTES / 2));
            System.out.println("ended " + attempt);
            return false;
        });
        System.out.println("listening");
        Thread.sleep(Long.MAX_VALUE);
    }

    /** The whole body of the answer to {@code attempt}. */
    static String bodyOf(String attempt) {
        String unit = attempt + "-booked;";
        return unit.repeat(BODY_BYTES / unit.length() + 1).substring(0, BODY_BYTES);
    }

    /** Starts a worker as a process; its output is read by the caller. */
    static Process start(int port, String id, long workMillis) throws Exception {
        List<String> command = List.of("java", "-Xmx32m", "-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-cp",
            System.getProperty("java.class.path"), "PlainWorker", "" + port, id, "" + workMillis);
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return process;
    }
}
