package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A consumer's channel to a daemon. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;

    Client(String address, int timeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(address.split(":")[0], Integer.parseInt(address.split(":")[1])), 1000);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes("ISO-8859-1"));
    }

    /** The head of a request without its body. */
    static String head(String method, String path, String id, long deadlineMillis, String fields) {
        return method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nX-Parsleymoor-Attempt-Id: " + id + "\r\nX-Parsleymoor-Deadline-Ms: "
            + deadlineMillis + "\r\n" + fields + "\r\n";
    }

    /** Sends a request without a body on a channel of its own; returns what the consumer sees in a few words. */
    static String call(String address, String method, String path, String id, int deadlineMillis) {
        try (Client client = new Client(address, deadlineMillis)) {
            client.send(head(method, path, id, deadlineMillis, method.equals("POST") ? "Content-Length: 0\r\n" : ""));
            Http.Head head = Http.readHead(client.in);
            if (head == null) return "closed without an answer";
            byte[] body = Http.readBody(client.in, head, true);
            return head.status() + " with " + body.length + " bytes";
        } catch (java.net.SocketTimeoutException e) {
            return "no answer within " + deadlineMillis + " ms";
        } catch (IOException e) {
            return "broken: " + e.getMessage();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
