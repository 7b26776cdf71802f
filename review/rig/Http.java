import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reading and writing of HTTP/1.1 messages, for the stand-ins. */
final class Http {
    private Http() {}

    /** A request or an answer: the words of its first line, its headers by lower-case name, and its body. */
    static final class Message {
        final String[] first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        Message(String[] first) {
            this.first = first;
        }

        int status() {
            return Integer.parseInt(first[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 8192);
    }

    /** Reads a message; null when the connection ends before it begins. */
    static Message read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) return null;
        Message message = readHead(line, in);
        String length = message.header("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length.trim()));
            if (message.body.length < Integer.parseInt(length.trim())) throw new IOException("body cut off");
        } else if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = readChunks(in);
        }
        return message;
    }

    private static Message readHead(String first, InputStream in) throws IOException {
        Message message = new Message(first.split(" ", 3));
        while (true) {
            String line = readLine(in);
            if (line == null) throw new IOException("head cut off");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) throw new IOException("chunks cut off");
            int length = Integer.parseInt(size.trim(), 16);
            byte[] chunk = in.readNBytes(length);
            if (chunk.length < length) throw new IOException("chunk cut off");
            body.write(chunk);
            if (readLine(in) == null) throw new IOException("chunk cut off");
            if (length == 0) return body.toByteArray();
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Writes an answer with a length; [headers] are whole lines. */
    static void answer(OutputStream out, int status, String body, String... headers) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        write(out, head.toString().getBytes(StandardCharsets.ISO_8859_1), bytes);
    }

    static void write(OutputStream out, byte[]... parts) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) all.writeBytes(part);
        out.write(all.toByteArray());
        out.flush();
    }
}
