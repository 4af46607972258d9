import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A replica's listening side: reads heads and leaves the rest of each request to its handler. */
class Replica {
    /** Handles one request; returns whether the channel stays open. */
    interface Handler {
        boolean handle(Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception;
    }

    final String id;
    final ServerSocket server = new ServerSocket();
    private final Handler handler;

    Replica(String id, int receiveBuffer, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        if (receiveBuffer > 0) server.setReceiveBufferSize(receiveBuffer);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
        Standins.thread(id, () -> {
            while (true) {
                Socket socket = server.accept();
                Standins.thread(id + " channel", () -> serve(socket));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                Http.Head head = Http.readHead(in);
                if (head == null) return;
                open = handler.handle(head, in, out, socket);
            }
        }
    }

    static String answerHead(int status, String attemptId, String more) {
        return "HTTP/1.1 " + status + " X\r\nX-Parsleymoor-Attempt-Id: " + attemptId
            + "\r\nX-Parsleymoor-Response-Seal: seal-of-the-stand-in\r\n" + more + "\r\n";
    }

    static void answer(OutputStream out, int status, String attemptId, String more, byte[] body) throws IOException {
        byte[] head = answerHead(status, attemptId, more + "Content-Length: " + body.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[head.length + body.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        out.write(whole);
        out.flush();
    }
}
