package rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A replica in trouble goes on with line feeds without end inside a stream. */
public final class EmptyLines implements Rig.Case {
    private static final int DEADLINE = 1_500;
    private static final int TIMEOUT = 800;
    private static final int STREAMS = 16;

    @Override
    public boolean run(boolean trouble, Path temporary) throws Exception {
        Store store = new Store();
        byte[] feeds = new byte[65_536];
        Arrays.fill(feeds, (byte) '\n');
        Replica.Work plain = (replica, head, in, out, socket) -> Replica.answer(head, out, "done");
        Replica.Work stream = (replica, head, in, out, socket) -> {
            Http.readBody(in, head, false);
            Rig.note(replica.id + " runs " + head.field("X-Parsleymoor-Attempt-Id"));
            out.write(("HTTP/1.1 200 OK\r\n" + Replica.receipt(head) + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n").getBytes());
            for (int i = 1; i <= 4; i++) out.write(("id: " + i + "\ndata: piece\n\n").getBytes());
            if (trouble) while (true) out.write(feeds);
            socket.close();
        };
        new Replica(store, "app", "i-app-0", 0, plain);
        new Replica(store, "llm", "i-llm-0", 0, stream);
        store.put("config", "main", Rig.state(1,
            List.of(Rig.route("get", "/get/", "idempotent", "app", TIMEOUT, 2, false), Rig.route("flow", "/flow/", "streaming", "llm", 15_000, 1, false)),
            List.of(Rig.service("app"), Rig.service("llm"))));
        String control = Daemon.freeAddress();
        Daemon daemon = new Daemon("edge-1", store, temporary, List.of(control), control);
        daemon.awaitReady(30_000);
        Thread.sleep(2_000);
        Rig.note("before: " + Client.call(daemon.front, "GET", "/get/a", "before", DEADLINE));
        for (int i = 0; i < STREAMS; i++) Rig.background("consumer", () -> {
            try (Client client = new Client(daemon.front, 15_000)) {
                client.send(Client.head("POST", "/flow/a", "stream-" + Thread.currentThread().getId(), 15_000, "Content-Length: 0\r\n"));
                byte[] piece = new byte[65_536];
                long bytes = 0;
                int count;
                while ((count = client.in.read(piece)) >= 0) bytes += count;
                Rig.note("the stream ended after " + bytes + " bytes");
            } catch (Exception e) {
                Rig.note("the stream broke: " + e.getMessage());
            }
        });
        Thread.sleep(300);
        AtomicInteger late = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> others = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            int number = i;
            others.add(Rig.background("other consumer", () -> {
                long start = System.currentTimeMillis();
                String seen = Client.call(daemon.front, "GET", "/get/a", "during-" + number, DEADLINE);
                long millis = System.currentTimeMillis() - start;
                if (millis > TIMEOUT) late.incrementAndGet();
                if (millis > TIMEOUT + 500) unanswered.incrementAndGet();
                Rig.note("other request " + number + ": " + seen + " after " + millis + " ms");
            }));
            Thread.sleep(500);
        }
        Rig.note("ready: " + daemon.probe(1_000));
        for (Thread other : others) other.join();
        Rig.note(late + " of 24 other requests were unanswered at their route's timeout, " + unanswered + " of these half a second later");
        Rig.note(daemon.process.isAlive() ? "the daemon runs" : "the daemon has ended by itself with " + daemon.process.exitValue());
        return late.get() >= 8 && unanswered.get() * 2 > late.get() || !daemon.process.isAlive();
    }
}
