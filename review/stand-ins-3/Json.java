import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            List<String> parts = new ArrayList<>();
            map.forEach((key, item) -> parts.add(write(key) + ":" + write(item)));
            return "{" + String.join(",", parts) + "}";
        }
        if (value instanceof List<?> list) {
            return "[" + String.join(",", list.stream().map(Json::write).toList()) + "]";
        }
        if (value instanceof String string) {
            return '"' + string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
        }
        return String.valueOf(value);
    }

    private Object value() {
        skip();
        char next = text.charAt(position);
        if (next == '{') return map();
        if (next == '[') return list();
        if (next == '"') return string();
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        if (word.matches("-?\\d+")) return Long.valueOf(word);
        return Double.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        for (skip(); text.charAt(position) != '}'; skip()) {
            if (text.charAt(position) == ',') position++;
            skip();
            String key = string();
            skip();
            position++;
            map.put(key, value());
        }
        position++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        position++;
        for (skip(); text.charAt(position) != ']'; skip()) {
            if (text.charAt(position) == ',') position++;
            list.add(value());
        }
        position++;
        return list;
    }

    private String string() {
        StringBuilder string = new StringBuilder();
        for (position++; text.charAt(position) != '"'; position++) {
            char next = text.charAt(position);
            if (next == '\\') {
                next = text.charAt(++position);
                if (next == 'n') next = '\n';
                if (next == 'u') {
                    next = (char) Integer.parseInt(text.substring(position + 1, position + 5), 16);
                    position += 4;
                }
            }
            string.append(next);
        }
        position++;
        return string.toString();
    }

    private void skip() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) position++;
    }
}
