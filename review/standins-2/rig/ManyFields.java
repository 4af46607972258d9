package rig;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients send heads inside the limit that consist of many small fields, for streams of four seconds. */
public final class ManyFields implements Rig.Case {
    private static final int DEADLINE = 12_000;
    private static final int EVENTS = 10;
    private static final int PAUSE = 200;
    private static final int READING = 2_000;
    private static final int LIMIT = 16_384;
    private static final int CLIENTS = 360;

    @Override
    public boolean run(boolean trouble, Path temporary) throws Exception {
        Store store = new Store();
        Set<String> passedOn = ConcurrentHashMap.newKeySet();
        Replica.Work work = (replica, head, in, out, socket) -> {
            if (head.startParts()[1].startsWith("/get/")) {
                Replica.answer(head, out, "done");
                return;
            }
            passedOn.add(head.field("X-Parsleymoor-Attempt-Id"));
            Rig.note(replica.id + " runs " + head.field("X-Parsleymoor-Attempt-Id"));
            // The prompt is read first.
            Thread.sleep(READING);
            out.write(("HTTP/1.1 200 OK\r\n" + Replica.receipt(head) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").getBytes());
            for (int i = 1; i <= EVENTS; i++) {
                String event = "id: " + i + "\ndata: piece\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
                Thread.sleep(PAUSE);
            }
            out.write("0\r\n\r\n".getBytes());
        };
        for (int i = 0; i < 4; i++) new Replica(store, "app", "i-app-" + i, 0, work);
        store.put("config", "main", Rig.state(1,
            List.of(Rig.route("flow", "/flow/", "streaming", "app", DEADLINE, 1, false), Rig.route("get", "/get/", "idempotent", "app", 800, 2, false)),
            List.of(Rig.service("app"))));
        String control = Daemon.freeAddress();
        Daemon daemon = new Daemon("edge-1", store, temporary, List.of(control), control);
        daemon.awaitReady(30_000);
        Thread.sleep(2_000);
        Rig.note("before: " + Client.call(daemon.front, "GET", "/get/a", "before", 1_500));
        String fields = trouble ? "a:b\r\n".repeat((LIMIT - 400) / 5) : "A: " + "b".repeat(LIMIT - 400) + "\r\n";
        AtomicInteger served = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = Rig.background("client", () -> {
                String id = "many-" + number;
                boolean answered = false;
                try (Client client = new Client(daemon.front, DEADLINE + 1_000)) {
                    client.send(Client.head("GET", "/get/a", "first-" + number, 800, ""));
                    Http.readBody(client.in, Http.readHead(client.in), true);
                    String head = Client.head("GET", "/flow/a", id, DEADLINE, fields);
                    if (number == 0) Rig.note("each head has " + head.length() + " bytes");
                    Rig.note(id + " is sent");
                    client.send(head);
                    Http.Head answer = Http.readHead(client.in);
                    answered = answer != null;
                    Rig.note(id + " gets " + (answered ? answer.start : "no answer before the channel ends"));
                    if (!answered) return;
                    if (answer.status() != 200) refused.incrementAndGet();
                    else if (Http.readBody(client.in, answer, true).length > 0) served.incrementAndGet();
                } finally {
                    if (!answered && passedOn.contains(id)) lost.incrementAndGet();
                }
            });
            Thread.sleep(3);
        }
        for (Thread client : clients) client.join(10_000);
        Rig.note(served + " served, " + refused + " refused, of " + CLIENTS);
        Rig.note(lost + " requests from a kept channel were passed on to a sound replica, and their channel ended without an answer");
        boolean alive = daemon.process.isAlive();
        Rig.note(alive ? "the daemon runs" : "the daemon has ended by itself with " + daemon.process.exitValue());
        Rig.note("after: " + Client.call(daemon.front, "GET", "/get/a", "after", 1_500));
        List<String> log = java.nio.file.Files.readAllLines(daemon.log);
        for (String line : log) if (line.contains("OutOfMemory")) Rig.note("log: " + line.substring(0, Math.min(200, line.length())));
        return lost.get() > 3;
    }
}
