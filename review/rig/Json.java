import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json reader = new Json(text);
        return reader.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    private Object value() {
        skipSpace();
        char next = text.charAt(at);
        if (next == '{') return map();
        if (next == '[') return list();
        if (next == '"') return string();
        int from = at;
        while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) at++;
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (true) {
            skipSpace();
            if (text.charAt(at) == '}') break;
            if (text.charAt(at) == ',') {
                at++;
                continue;
            }
            String key = string();
            skipSpace();
            at++;
            map.put(key, value());
        }
        at++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        at++;
        while (true) {
            skipSpace();
            if (text.charAt(at) == ']') break;
            if (text.charAt(at) == ',') {
                at++;
                continue;
            }
            list.add(value());
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder string = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                string.append(next);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> string.append('\n');
                case 'r' -> string.append('\r');
                case 't' -> string.append('\t');
                case 'u' -> {
                    string.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> string.append(escaped);
            }
        }
        at++;
        return string.toString();
    }

    private void skipSpace() {
        while (Character.isWhitespace(text.charAt(at))) at++;
    }

    static String write(Object value) {
        if (value == null) return "null";
        if (value instanceof String string) return quote(string);
        if (value instanceof Map<?, ?> map) {
            List<String> fields = new ArrayList<>();
            map.forEach((key, field) -> fields.add(quote((String) key) + ":" + write(field)));
            return "{" + String.join(",", fields) + "}";
        }
        if (value instanceof List<?> list) return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        return value.toString();
    }

    private static String quote(String string) {
        return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }

    /** A map of alternating keys and values. */
    static Map<String, Object> map(Object... entries) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < entries.length; index += 2) map.put((String) entries[index], entries[index + 1]);
        return map;
    }
}
