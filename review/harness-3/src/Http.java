import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/** HTTP/1.1 over blocking sockets, for the stand-ins and the clients. */
final class Http {
    private Http() { }

    /** A message: the start line, the fields by lower-case name, and the body. */
    static final class Message {
        String start = "";
        final Map<String, String> fields = new LinkedHashMap<>();
        byte[] body = new byte[0];
        boolean complete;

        String method() { return start.split(" ")[0]; }
        String target() { return start.split(" ")[1]; }
        int status() { return Integer.parseInt(start.split(" ")[1]); }
        String field(String name) { return fields.get(name.toLowerCase()); }
        String text() { return new String(body, StandardCharsets.UTF_8); }
        long length() { return fields.containsKey("content-length") ? Long.parseLong(field("content-length")) : 0; }
    }

    /** Reads a head; null if the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = line(in);
        while (line != null && line.isEmpty()) line = line(in);
        if (line == null) return null;
        Message message = new Message();
        message.start = line;
        while (true) {
            line = line(in);
            if (line == null) throw new EOFException("the head ended early");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.fields.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b = in.read();
        if (b < 0) return null;
        while (b >= 0 && b != '\n') {
            if (b != '\r') out.write(b);
            b = in.read();
        }
        return out.toString("ISO-8859-1");
    }

    /** Reads the body that follows [message]; a response without a length ends with its channel. */
    static void readBody(InputStream in, Message message, boolean response) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            if (message.fields.containsKey("content-length")) {
                long left = message.length();
                byte[] buffer = new byte[65536];
                while (left > 0) {
                    int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
                    if (count < 0) throw new EOFException("the body ended early");
                    out.write(buffer, 0, count);
                    left -= count;
                }
            } else if ("chunked".equalsIgnoreCase(message.field("transfer-encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) throw new EOFException("the body ended early");
                    int count = Integer.parseInt(size.trim().split(";")[0].trim(), 16);
                    if (count == 0) {
                        String trailer = line(in);
                        while (trailer != null && !trailer.isEmpty()) trailer = line(in);
                        if (trailer == null) throw new EOFException("the body ended early");
                        break;
                    }
                    byte[] chunk = in.readNBytes(count);
                    out.write(chunk);
                    if (chunk.length < count || line(in) == null) throw new EOFException("the body ended early");
                }
            } else if (response) {
                out.write(in.readAllBytes());
            }
            message.complete = true;
        } finally {
            message.body = out.toByteArray();
        }
    }

    static byte[] head(String start, List<String> fields) {
        StringBuilder out = new StringBuilder(start).append("\r\n");
        for (String field : fields) out.append(field).append("\r\n");
        return out.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    static void write(OutputStream out, String start, List<String> fields, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        List<String> own = new ArrayList<>(fields);
        own.add("Content-Length: " + body.length);
        all.write(head(start, own));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    interface Handler {
        /** Serves one request whose head has been read; returns whether the connection stays open. */
        boolean handle(Message request, Socket socket, InputStream in, OutputStream out) throws Exception;
    }

    /** A server with a thread for each connection. */
    static final class Server implements Closeable {
        final ServerSocket listener;
        final String address;
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private final Handler handler;
        volatile boolean closed;

        Server(Handler handler) throws IOException { this(handler, 0); }

        Server(Handler handler, int port) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress("127.0.0.1", port), 1024);
            address = "127.0.0.1:" + listener.getLocalPort();
            start("accept", this::accept);
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    start("connection", () -> serve(socket));
                } catch (IOException e) {
                    if (!closed) e.printStackTrace();
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                OutputStream out = socket.getOutputStream();
                boolean open = true;
                while (open) {
                    Message request = readHead(in);
                    open = request != null && handler.handle(request, socket, in, out);
                }
            } catch (Exception e) {
                // The peer has gone, or the stand-in was closed.
            } finally {
                sockets.remove(socket);
            }
        }

        @Override public void close() throws IOException {
            closed = true;
            listener.close();
            for (Socket socket : sockets) reset(socket);
        }
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    static Thread start(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** One answer as a client sees it: [failure] says why it is not complete. */
    static final class Answer {
        Message message;
        String failure;
        long millis;

        String show() { return failure != null ? failure : String.valueOf(message.status()); }
        int status() { return failure != null || message == null ? 0 : message.status(); }
    }

    /** A client's kept channel. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        private final InputStream in;
        private final OutputStream out;

        Client(String address) throws IOException {
            String[] parts = address.split(":");
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        Answer call(String method, String target, List<String> fields, byte[] body, int timeoutMillis) {
            Answer answer = new Answer();
            long start = System.nanoTime();
            try {
                socket.setSoTimeout(timeoutMillis);
                List<String> own = new ArrayList<>(fields);
                if (body.length > 0 || method.equals("POST")) own.add("Content-Length: " + body.length);
                out.write(head(method + " " + target + " HTTP/1.1", own));
                out.write(body);
                out.flush();
                answer.message = readHead(in);
                if (answer.message == null) throw new EOFException("closed without an answer");
                readBody(in, answer.message, true);
            } catch (SocketTimeoutException e) {
                answer.failure = "no answer in " + timeoutMillis + " ms";
            } catch (IOException e) {
                answer.failure = "channel ended: " + e.getMessage();
            }
            answer.millis = (System.nanoTime() - start) / 1_000_000;
            return answer;
        }

        @Override public void close() throws IOException { socket.close(); }
    }
}
