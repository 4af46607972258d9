import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-in of a replica: answers requests for its own id, and refuses with 421 what is for another. */
class Replica {
    /** A request that reached this replica and was not refused. */
    static final class Arrival {
        final String id;
        final long millis;
        volatile String outcome = "running";

        Arrival(String id, long millis) {
            this.id = id;
            this.millis = millis;
        }
    }

    final String id;
    final String service;
    final String zone;
    final Kit kit;
    final Http.Server server;
    final List<Arrival> arrivals = Collections.synchronizedList(new ArrayList<>());
    final long born = System.currentTimeMillis();
    final AtomicInteger running = new AtomicInteger();
    volatile long seq;
    volatile int workMillis = 30;

    Replica(Kit kit, String id, String service, String zone) throws IOException {
        this.kit = kit;
        this.id = id;
        this.service = service;
        this.zone = zone;
        server = new Http.Server(this::handle);
    }

    String address() { return server.address; }

    void register(Store store, String state, long coldMillis) {
        store.put("servers", id, Kit.entry(service, address(), zone, state, coldMillis, born, ++seq));
    }

    private boolean handle(Http.Message request, Socket socket, InputStream in, OutputStream out) throws Exception {
        if (request.target().equals("/health")) {
            Http.readBody(in, request, false);
            Http.write(out, "HTTP/1.1 200 OK", List.of("X-Parsleymoor-Instance-Id: " + id, load()), new byte[0]);
            return true;
        }
        String expected = request.field("X-Parsleymoor-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            Http.readBody(in, request, false);
            Http.write(out, "HTTP/1.1 421 Misdirected Request", List.of("X-Parsleymoor-Instance-Id: " + id), new byte[0]);
            return true;
        }
        Arrival arrival = new Arrival(request.field("X-Parsleymoor-Attempt-Id"), kit.millis());
        arrivals.add(arrival);
        running.incrementAndGet();
        try {
            return serve(request, arrival, socket, in, out);
        } finally {
            running.decrementAndGet();
        }
    }

    String load() { return "X-Parsleymoor-Server-Load: " + running.get() + ",0,6"; }

    List<String> sealed(Arrival arrival) {
        return List.of("X-Parsleymoor-Attempt-Id: " + arrival.id, "X-Parsleymoor-Response-Seal: seal-of-" + arrival.id,
            "X-Parsleymoor-Instance-Id: " + id, load(), "Keep-Alive: timeout=10");
    }

    /** Serves one request; returns whether the channel stays open. */
    boolean serve(Http.Message request, Arrival arrival, Socket socket, InputStream in, OutputStream out)
        throws Exception {
        Http.readBody(in, request, false);
        Kit.sleep(workMillis);
        arrival.outcome = "answered";
        Http.write(out, "HTTP/1.1 200 OK", sealed(arrival), ("done " + arrival.id).getBytes());
        return true;
    }

    void end() throws IOException { server.close(); }
}
