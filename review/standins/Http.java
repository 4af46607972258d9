import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    static final String CUT = "the connection ended inside a chunked body";

    private Http() {}

    /** The head of a message: its start line and its fields, with names in lower case. */
    record Head(String start, Map<String, String> fields) {
        String field(String name) {
            return fields.get(name.toLowerCase());
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }
    }

    /** Reads a head, or returns null if the stream ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String start = readLine(in);
        while (start != null && start.isEmpty()) start = readLine(in);
        if (start == null) return null;
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return new Head(start, fields);
    }

    /** Reads the body of a request or response; without a length, a response ends with its connection. */
    static byte[] readBody(InputStream in, Head head, boolean untilClose) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = head.field("content-length");
        if ("chunked".equalsIgnoreCase(head.field("transfer-encoding"))) {
            while (true) {
                String line = readLine(in);
                if (line == null) throw new IOException(CUT);
                if (line.isEmpty()) throw new IOException(CUT);
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                if (size == 0) {
                    readLine(in);
                    return body.toByteArray();
                }
                body.write(readExactly(in, size));
                readLine(in);
            }
        } else if (length != null) {
            body.write(readExactly(in, Integer.parseInt(length)));
        } else if (untilClose) {
            in.transferTo(body);
        }
        return body.toByteArray();
    }

    static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new IOException("the connection ended inside a body");
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) return null;
        while (c >= 0 && c != '\n') {
            if (c != '\r') line.write(c);
            c = in.read();
        }
        return line.toString(java.nio.charset.StandardCharsets.ISO_8859_1);
    }
}
