import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers, booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("bytes after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static String quote(String text) {
        StringBuilder quoted = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') quoted.append('\\').append(c);
            else if (c < ' ') quoted.append(String.format("\\u%04x", (int) c));
            else quoted.append(c);
        }
        return quoted.append('"').toString();
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> fields = new LinkedHashMap<>();
            at++;
            if (isNext('}')) return fields;
            do {
                space();
                String name = string();
                expect(':');
                fields.put(name, value());
            } while (isNext(','));
            expect('}');
            return fields;
        }
        if (c == '[') {
            List<Object> values = new ArrayList<>();
            at++;
            if (isNext(']')) return values;
            do values.add(value()); while (isNext(','));
            expect(']');
            return values;
        }
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> Double.valueOf(word);
        };
    }

    private String string() {
        if (text.charAt(at++) != '"') throw new IllegalArgumentException("a string was expected at " + at);
        StringBuilder value = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return value.toString();
            if (c != '\\') {
                value.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> value.append('\n');
                case 'r' -> value.append('\r');
                case 't' -> value.append('\t');
                case 'b' -> value.append('\b');
                case 'f' -> value.append('\f');
                case 'u' -> {
                    value.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> value.append(escaped);
            }
        }
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private boolean isNext(char c) {
        space();
        if (text.charAt(at) != c) return false;
        at++;
        return true;
    }

    private void expect(char c) {
        if (!isNext(c)) throw new IllegalArgumentException("'" + c + "' was expected at " + at);
    }
}
