import java.util.*;

/** A small JSON reader and writer: objects are maps, arrays lists, numbers are Long or Double. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) { this.text = text; }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) throw new IllegalArgumentException("text after the value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) map.put((String) pairs[i], pairs[i + 1]);
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else if (value instanceof Map) {
            String separator = "{";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append(separator.equals("{") ? "{}" : "}");
        } else if (value instanceof List) {
            String separator = "[";
            for (Object item : (List<?>) value) {
                out.append(separator);
                write(item, out);
                separator = ",";
            }
            out.append(separator.equals("[") ? "[]" : "]");
        } else {
            out.append(value);
        }
    }

    private void space() { while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++; }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            space();
            if (text.charAt(at) == '}') { at++; return map; }
            while (true) {
                space();
                String name = string();
                space();
                expect(':');
                map.put(name, value());
                space();
                if (text.charAt(at) == ',') { at++; continue; }
                expect('}');
                return map;
            }
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            space();
            if (text.charAt(at) == ']') { at++; return list; }
            while (true) {
                list.add(value());
                space();
                if (text.charAt(at) == ',') { at++; continue; }
                expect(']');
                return list;
            }
        }
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "true": return true;
            case "false": return false;
            case "null": return null;
            default: return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        }
    }

    private void expect(char c) {
        if (text.charAt(at++) != c) throw new IllegalArgumentException("expected " + c + " at " + at);
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (true) {
            char c = text.charAt(at++);
            if (c == '"') return out.toString();
            if (c != '\\') { out.append(c); continue; }
            c = text.charAt(at++);
            switch (c) {
                case 'n': out.append('\n'); break;
                case 't': out.append('\t'); break;
                case 'r': out.append('\r'); break;
                case 'b': out.append('\b'); break;
                case 'f': out.append('\f'); break;
                case 'u': out.append((char) Integer.parseInt(text.substring(at, at + 4), 16)); at += 4; break;
                default: out.append(c);
            }
        }
    }
}
