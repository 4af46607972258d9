package rig;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A tenant becomes isolated while a stream of it runs; the stream's replica crashes, and the stream is resumed. */
public final class Isolated implements Rig.Case {
    private static final int DEADLINE = 15_000;

    @Override
    public boolean run(boolean trouble, Path temporary) throws Exception {
        Store store = new Store();
        List<Engine> engines = List.of(new Engine(store, "i-llm-0"), new Engine(store, "i-llm-1"), new Engine(store, "i-llm-2"), new Engine(store, "i-llm-3"));
        for (Engine engine : engines) {
            engine.events = 24;
            engine.pauseMillis = 300;
        }
        store.put("versions", Engine.MODEL, Json.map("model", Engine.MODEL, "version", 1));
        store.put("config", "main", state(1, false));
        String control = Daemon.freeAddress();
        Daemon daemon = new Daemon("edge-1", store, temporary, List.of(control), control);
        daemon.awaitReady(30_000);
        // A daemon repeats nothing until its share of the retry budget is settled.
        Thread.sleep(20_000);
        Thread stream = Rig.background("stream of tenant a", () -> Rig.note(stream(daemon, "stream-a", "key-a", "own-a")));
        Thread.sleep(1_000);
        store.put("config", "main", state(2, true));
        Rig.note("the desired state 2, in which tenant a is isolated, is confirmed");
        // configApplyMs and half a second more.
        Thread.sleep(3_000);
        if (trouble) {
            for (Engine engine : engines) {
                if (engine.running.get() > 0) {
                    Rig.note(engine.replica.id + " crashes");
                    engine.crash(store);
                }
            }
        }
        Thread.sleep(1_500);
        if (!trouble) Rig.note("no replica crashes");
        for (Engine engine : engines) engine.pauseMillis = 50;
        for (int i = 0; i < 12; i++) Rig.note(stream(daemon, "stream-b-" + i, "key-b", "own-b-" + i));
        stream.join(DEADLINE);
        int uses = engines.stream().mapToInt(engine -> engine.foreign.size()).sum();
        Rig.note(uses + " parts that a request of one tenant had made were used by a request of the other, after one of them was isolated");
        return uses > 0;
    }

    private static Map<String, Object> state(int version, boolean isolated) {
        Map<String, Object> route = Rig.route("flow", "/flow/", "streaming", "llm", DEADLINE, 2, true);
        route.put("sticky", true);
        route.put("sloMs", 1_200);
        Map<String, Object> state = Rig.state(version, List.of(route), List.of(Engine.service()));
        state.put("tenants", List.of(
            Json.map("name", "a", "apiKeys", List.of("key-a"), "priority", 1, "isolated", isolated, "allowedRegions", List.of()),
            Json.map("name", "b", "apiKeys", List.of("key-b"), "priority", 1, "isolated", false, "allowedRegions", List.of())));
        return state;
    }

    private static String stream(Daemon daemon, String id, String key, String own) throws Exception {
        try (Client client = new Client(daemon.front, DEADLINE)) {
            client.send(Client.head("POST", "/flow/a", id, DEADLINE, "Authorization: Token " + key + "\r\n" + Engine.prompt("51", "52", own)
                + "Content-Length: 0\r\n"));
            Http.Head head = Http.readHead(client.in);
            if (head == null) return id + ": closed without an answer";
            String body = new String(Http.readBody(client.in, head, true));
            return id + ": " + head.status() + ", " + body.split("data: piece").length + " - 1 events";
        } catch (Exception e) {
            return id + ": " + e.getMessage();
        }
    }
}
