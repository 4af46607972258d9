package rig;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A replica that registers itself in the store, and answers each request as its [Work] says. */
final class Replica {
    /** Answers one request. The body has not been read unless the replica was made to read it. */
    interface Work {
        void run(Replica replica, Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception;
    }

    final String id;
    final String service;
    final ServerSocket server = new ServerSocket();
    final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile Work work;
    volatile Map<String, Object> extra = Map.of();
    private final Store store;
    private final long born = System.currentTimeMillis();
    private long seq;

    Replica(Store store, String service, String id, int receiveBuffer, Work work) throws Exception {
        this.store = store;
        this.service = service;
        this.id = id;
        this.work = work;
        if (receiveBuffer > 0) server.setReceiveBufferSize(receiveBuffer);
        server.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        Rig.background("replica " + id, () -> {
            while (true) {
                Socket socket = server.accept();
                Rig.background("replica connection", () -> serve(socket));
            }
        });
        if (service != null) Rig.background("status reports", () -> {
            while (!server.isClosed()) {
                report("ready");
                Thread.sleep(1200);
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void report(String state) {
        Map<String, Object> spec = Json.map("service", service, "address", address(), "zone", "zone-a", "version", "v1", "slots", 64,
            "state", state, "coldRemainingMs", 0, "seq", seq++, "born", born);
        spec.putAll(extra);
        store.put("servers", id, spec);
    }

    private void serve(Socket socket) throws Exception {
        open.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1024);
            Http.Head head;
            while ((head = Http.readHead(in)) != null) work.run(this, head, in, socket.getOutputStream(), socket);
        } finally {
            open.remove(socket);
        }
    }

    /** The fields with which a replica answers a request that it has run. */
    static String receipt(Http.Head head) {
        return "X-Parsleymoor-Attempt-Id: " + head.field("X-Parsleymoor-Attempt-Id") + "\r\nX-Parsleymoor-Response-Seal: seal\r\n"
            + "X-Parsleymoor-Server-Load: 1,0,64\r\n";
    }

    /** Answers with a success and [body]. */
    static void answer(Http.Head head, OutputStream out, String body) throws Exception {
        out.write(("HTTP/1.1 200 OK\r\n" + receipt(head) + "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes());
    }
}
