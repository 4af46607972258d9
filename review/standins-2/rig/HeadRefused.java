package rig;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A route is removed; a client asks it with HEAD, is refused, and goes on using its channel. */
public final class HeadRefused implements Rig.Case {
    private static final int DEADLINE = 1_500;

    @Override
    public boolean run(boolean trouble, Path temporary) throws Exception {
        Store store = new Store();
        Replica.Work work = (replica, head, in, out, socket) -> {
            Rig.note(replica.id + " runs " + head.field("X-Parsleymoor-Attempt-Id"));
            if (head.start.startsWith("HEAD")) out.write(("HTTP/1.1 200 OK\r\n" + Replica.receipt(head) + "Content-Length: 4\r\n\r\n").getBytes());
            else Replica.answer(head, out, "done");
        };
        new Replica(store, "app", "i-app-0", 0, work);
        Map<String, Object> get = Rig.route("get", "/get/", "idempotent", "app", 800, 2, false);
        Map<String, Object> old = Rig.route("old", "/old/", "idempotent", "app", 800, 2, false);
        store.put("config", "main", Rig.state(1, List.of(get, old), List.of(Rig.service("app"))));
        String control = Daemon.freeAddress();
        Daemon daemon = new Daemon("edge-1", store, temporary, List.of(control), control);
        daemon.awaitReady(30_000);
        Thread.sleep(2_000);
        if (trouble) {
            store.put("config", "main", Rig.state(4, List.of(get), List.of(Rig.service("app"))));
            Rig.note("the desired state 4, without the route /old/, is confirmed");
            // configApplyMs and half a second more.
            Thread.sleep(3_000);
        }
        int wrong = 0;
        for (int i = 0; i < 5; i++) {
            try (Client client = new Client(daemon.front, DEADLINE)) {
                client.send(Client.head("HEAD", "/old/a", "head-" + i, DEADLINE, ""));
                Http.Head first = Http.readHead(client.in);
                Rig.note("head-" + i + ", HEAD /old/a: " + first.start + ", Connection: " + first.field("Connection"));
                client.send(Client.head("GET", "/get/a", "get-" + i, DEADLINE, ""));
                Http.Head second = Http.readHead(client.in);
                String seen = second == null ? "closed" : second.start + " with " + second.fields;
                Rig.note("get-" + i + ", GET /get/a on the same channel: " + seen);
                if (second == null || !second.start.startsWith("HTTP/1.1 200") || !("get-" + i).equals(second.field("X-Parsleymoor-Attempt-Id"))) wrong++;
            } catch (IOException | RuntimeException e) {
                Rig.note("broken: " + e);
            }
        }
        Rig.note(wrong + " of 5 answers on the kept channel were not answers in the protocol, or another's");
        return wrong > 0;
    }
}
