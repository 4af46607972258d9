package rig;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {
    /** The head of a message. Names of fields are in lower case; of a field that occurs twice the last one counts. */
    static final class Head {
        String start = "";
        final Map<String, String> fields = new LinkedHashMap<>();

        String field(String name) {
            return fields.get(name.toLowerCase());
        }

        String[] startParts() {
            return start.split(" ", 3);
        }

        int status() {
            return Integer.parseInt(startParts()[1]);
        }
    }

    private Http() {
    }

    /** Returns the next head, or null if the connection ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int last = 0;
        while (last != 0x0d0a0d0a) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) return null;
                throw new IOException("the connection ended inside a head");
            }
            bytes.write(b);
            last = (last << 8) | b;
        }
        String[] lines = bytes.toString("ISO-8859-1").split("\r\n");
        Head head = new Head();
        head.start = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) head.fields.put(lines[i].substring(0, colon).toLowerCase(), lines[i].substring(colon + 1).trim());
        }
        return head;
    }

    /** Reads the body that belongs to [head]; throws if it is incomplete. */
    static byte[] readBody(InputStream in, Head head, boolean response) throws IOException {
        String length = head.field("Content-Length");
        if (length != null) {
            byte[] body = in.readNBytes(Integer.parseInt(length));
            if (body.length < Integer.parseInt(length)) throw new IOException("the connection ended inside a body");
            return body;
        }
        if ("chunked".equalsIgnoreCase(head.field("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) throw new IOException("the connection ended inside a chunk");
                body.write(chunk);
                readLine(in);
                if (size == 0) return body.toByteArray();
            }
        }
        return response ? in.readAllBytes() : new byte[0];
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) throw new IOException("the connection ended inside a line");
            if (b != '\r') line.append((char) b);
        }
        return line.toString();
    }
}
