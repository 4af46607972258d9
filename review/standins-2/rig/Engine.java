package rig;

import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A model replica: it tells its load, streams events, and caches the parts of prompts under the salt that it is given. */
final class Engine {
    static final String MODEL = "model";
    private static final byte[] SPOILT = ("[" + "0,".repeat(2_000_000)).getBytes();

    final Replica replica;
    final AtomicInteger running = new AtomicInteger();
    /** The tenant whose request made each cached part, by salt and id. */
    final Map<String, String> cache = new ConcurrentHashMap<>();
    /** What requests found in the cache that another tenant had made. */
    final List<String> foreign = new ArrayList<>();
    volatile int events = 10;
    volatile int pauseMillis = 200;
    volatile boolean quiet;
    /** Spoils one in so many of its reports; none if 0. */
    volatile int spoilsOneIn;
    private final AtomicInteger reports = new AtomicInteger();
    private volatile boolean crashed;

    Engine(Store store, String id) throws Exception {
        replica = new Replica(store, "llm", id, 0, this::work);
        replica.extra = Json.map("stage", "both", "models", List.of(Json.map("name", MODEL, "version", 1, "adapters", List.of())));
        replica.report("ready");
    }

    /** Ends as a process that crashes does: it is reached no more, and its channels are reset. */
    void crash(Store store) throws Exception {
        crashed = true;
        replica.server.close();
        for (Socket socket : replica.open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    boolean isCrashed() {
        return crashed;
    }

    private void work(Replica self, Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception {
        String[] parts = head.startParts();
        if (parts[1].equals("/report") && spoilsOneIn > 0 && reports.incrementAndGet() % spoilsOneIn == 0) {
            Rig.note(self.id + " spoils a report");
            out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + SPOILT.length + "\r\n\r\n").getBytes());
            out.write(SPOILT);
            return;
        }
        if (parts[1].equals("/report")) {
            byte[] body = Json.write(Json.map("stage", "both", "models", List.of(Json.map("name", MODEL, "version", 1, "adapters", List.of())),
                "busy", false, "seq", 0, "queued", 0, "running", running.get(), "kvUsed", 1_000 * running.get(), "kvTotal", 100_000, "handles", 0,
                "runs", List.of(), "clock_ms", System.currentTimeMillis())).getBytes();
            out.write(Rig.join(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(), body));
            return;
        }
        Http.readBody(in, head, false);
        String tenant = String.valueOf(head.field("X-Parsleymoor-Tenant"));
        String salt = String.valueOf(head.field("X-Parsleymoor-Cache-Salt"));
        String from = head.field("Last-Event-Id");
        if (!quiet) Rig.note(self.id + " runs " + head.field("X-Parsleymoor-Attempt-Id") + " of tenant " + tenant + (from == null ? "" : " from event " + from)
            + " under salt " + salt);
        String prefix = head.field("X-Parsleymoor-Prompt-Prefix");
        for (String part : prefix == null ? new String[0] : prefix.split(",")) {
            String key = salt + " " + part.split(":")[0];
            String maker = cache.putIfAbsent(key, String.valueOf(tenant));
            if (maker != null && !maker.equals(tenant)) {
                String use = self.id + ": the request " + head.field("X-Parsleymoor-Attempt-Id") + " of tenant " + tenant + " uses part "
                    + part.split(":")[0] + ", which a request of tenant " + maker + " made (salt " + salt + ")";
                synchronized (foreign) {
                    foreign.add(use);
                }
                Rig.note(use);
            }
        }
        running.incrementAndGet();
        try {
            out.write(("HTTP/1.1 200 OK\r\n" + Replica.receipt(head) + "X-Parsleymoor-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
            for (int i = (from == null ? 0 : Integer.parseInt(from)) + 1; i <= events; i++) {
                String event = "id: " + i + "\ndata: piece " + i + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
                Thread.sleep(pauseMillis);
            }
            out.write("0\r\n\r\n".getBytes());
        } finally {
            running.decrementAndGet();
        }
    }

    static Map<String, Object> service() {
        Map<String, Object> service = Rig.service("llm");
        service.put("maxConns", 370);
        service.put("engine", Json.map("slots", 64, "kvCapacityTokens", 100_000, "kvTokenBytes", 18_432, "linkMbps", 180_000, "managed", true,
            "maxInflight", 12, "models", List.of(Json.map("name", MODEL))));
        return service;
    }

    /** The fields that describe a prompt of [parts], each given as its id. */
    static String prompt(String... parts) {
        List<String> entries = new ArrayList<>();
        for (String part : parts) entries.add(part + ":400");
        return "X-Parsleymoor-Model: " + MODEL + "\r\nX-Parsleymoor-Token-Usage: " + 400 * parts.length + ",80\r\nX-Parsleymoor-Prompt-Prefix: "
            + String.join(",", entries) + "\r\n";
    }
}
