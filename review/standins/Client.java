import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A consumer: one connection to a daemon, one request after the other. */
final class Client implements AutoCloseable {
    /** Why an answer in chunks could not be read to its end. */
    static final String CUT = Http.CUT;

    record Answer(int status, Http.Head head, byte[] body) {}

    final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    static String head(String method, String path, String id, long deadlineMillis, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Standins.HOST + "\r\nX-Parsleymoor-Attempt-Id: " + id
            + "\r\nX-Parsleymoor-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + Standins.KEY + "\r\n" + more + "\r\n";
    }

    void send(byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }

    Answer read() throws IOException {
        Http.Head head = Http.readHead(in);
        if (head == null) throw new IOException("the connection ended without an answer");
        return new Answer(head.status(), head, Http.readBody(in, head, true));
    }

    Answer call(String head, byte[] body) throws IOException {
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[start.length + body.length];
        System.arraycopy(start, 0, whole, 0, start.length);
        System.arraycopy(body, 0, whole, start.length, body.length);
        send(whole);
        return read();
    }

    static Answer plain(int port, String message, int timeoutMillis) throws IOException {
        try (Client client = new Client(port, timeoutMillis)) {
            client.send(message.getBytes(StandardCharsets.ISO_8859_1));
            return client.read();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
