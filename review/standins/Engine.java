import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A model replica: streams events, reports its state, and takes orders to load weights, during which it refuses what has
 * not started. It may fall silent for a while and go on.
 */
final class Engine {
    static final String MODEL = "model-a";
    static final int SLOTS = 64;
    private static final int LOAD_MILLIS = 830;
    private static final int REPORT_LAG_MILLIS = 100;

    final String id;
    final Replica replica;
    final AtomicInteger running = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();
    private final Standins standins;
    private final int pauseMillis;
    private int version = 1;
    private int seq;
    private boolean busy;
    private double highestFence;
    private volatile String laggingReport;
    private volatile long silentUntil;

    /** Events are [pauseMillis] apart. */
    Engine(Standins standins, String id, int pauseMillis) throws IOException {
        this.standins = standins;
        this.id = id;
        this.pauseMillis = pauseMillis;
        replica = new Replica(id, 0, this::handle);
        laggingReport = report();
        Standins.thread(id + " reports", () -> {
            while (true) {
                String report = report();
                Thread.sleep(REPORT_LAG_MILLIS);
                laggingReport = report;
            }
        });
    }

    /** Makes no event for [millis]; then all runs go on. */
    void fallSilent(int millis) {
        standins.log("replica " + id + ": silent for " + millis + " ms, with " + running.get() + " runs");
        silentUntil = standins.millis() + millis;
    }

    private boolean handle(Http.Head head, InputStream in, OutputStream out, Socket socket) throws Exception {
        byte[] body = Http.readBody(in, head, false);
        String expected = head.field("X-Parsleymoor-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            plain(out, 421, "X-Parsleymoor-Instance-Id: " + id + "\r\n", "");
        } else if (head.target().equals("/report")) {
            plain(out, 200, "Content-Type: application/json\r\n", laggingReport);
        } else if (head.target().equals("/order")) {
            int status = order(Json.object(new String(body, StandardCharsets.UTF_8)));
            standins.log("replica " + id + ": order " + new String(body, StandardCharsets.UTF_8) + " answered " + status);
            plain(out, status, "", "");
        } else {
            run(head, out);
        }
        return true;
    }

    private void plain(OutputStream out, int status, String more, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        out.write(("HTTP/1.1 " + status + " X\r\n" + more + "Content-Length: " + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
    }

    private synchronized String report() {
        return "{\"stage\":\"both\",\"models\":[{\"name\":\"" + MODEL + "\",\"version\":" + version + ",\"adapters\":[]}],\"busy\":" + busy
            + ",\"seq\":" + seq + ",\"queued\":0,\"running\":" + running.get() + ",\"kvUsed\":" + running.get() * 900
            + ",\"kvTotal\":107868,\"handles\":0,\"runs\":[],\"state\":\"ready\"}";
    }

    private synchronized int order(Map<String, Object> order) {
        int wanted = ((Double) order.get("version")).intValue();
        if (order.get("holder") == null || !(order.get("fenceToken") instanceof Double fence) || wanted < version) return 400;
        if (fence < highestFence) return 412;
        highestFence = fence;
        if (version == wanted) return 200;
        if (busy || !order.get("expectedRev").equals((double) seq)) return 409;
        busy = true;
        seq++;
        Standins.thread(id + " load", () -> {
            while (running.get() > 0) Thread.sleep(5);
            Thread.sleep(LOAD_MILLIS);
            synchronized (this) {
                version = wanted;
                busy = false;
            }
            standins.reportModels(id, Map.of(MODEL, wanted));
            standins.log("replica " + id + ": has version " + wanted);
        });
        return 202;
    }

    private void run(Http.Head head, OutputStream out) throws Exception {
        String attempt = head.field("X-Parsleymoor-Attempt-Id");
        String wanted = head.field("X-Parsleymoor-Expect-Version");
        int runsOn;
        synchronized (this) {
            runsOn = version;
            if (wanted != null && Integer.parseInt(wanted) != version) {
                plain(out, 421, "X-Parsleymoor-Not-Executed: 1\r\nX-Parsleymoor-Attempt-Id: " + attempt + "\r\n", "");
                return;
            }
            if (busy) {
                standins.log("replica " + id + ": refuses " + attempt + " with 503 and X-Parsleymoor-Not-Executed, as an order is in progress");
                refused.incrementAndGet();
                plain(out, 503, "X-Parsleymoor-Not-Executed: 1\r\nX-Parsleymoor-Attempt-Id: " + attempt + "\r\n", "");
                return;
            }
            running.incrementAndGet();
        }
        int events = Integer.parseInt(head.field("X-Parsleymoor-Token-Usage").split(",")[1].trim());
        String last = head.field("Last-Event-Id");
        int from = last == null ? 1 : Integer.parseInt(last) + 1;
        standins.log("replica " + id + ": runs " + attempt + " from event " + from);
        int made = from - 1;
        try {
            String more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Parsleymoor-Weight-Versions: " + runsOn + "\r\n";
            out.write(Replica.answerHead(200, attempt, more).getBytes(StandardCharsets.ISO_8859_1));
            for (int event = from; event <= events; event++) {
                Thread.sleep(event == from ? 40 : pauseMillis);
                while (standins.millis() < silentUntil) Thread.sleep(2);
                byte[] bytes = ("id: " + event + "\ndata: " + attempt + " " + event + (event == events ? " end" : "") + "\n\n").getBytes(StandardCharsets.ISO_8859_1);
                out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                made = event;
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            standins.log("replica " + id + ": finished " + attempt);
        } catch (IOException closed) {
            standins.log("replica " + id + ": the daemon has closed the channel of " + attempt + " after event " + made + " of " + events);
            throw closed;
        } finally {
            running.decrementAndGet();
        }
    }
}
