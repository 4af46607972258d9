package rig;

import java.io.BufferedInputStream;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: objects by kind and name, lists, watches and conditional writes. */
final class Store {
    private record Change(long revision, String kind, Map<String, Object> object, boolean tombstone) {
    }

    private final ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 10;
    /** Whether the store is down: it answers each call of the daemons with 503 and does nothing. */
    volatile boolean busy;

    Store() throws Exception {
        Rig.background("store", () -> {
            while (true) {
                Socket socket = server.accept();
                Rig.background("store connection", () -> serve(socket));
            }
        });
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Writes an object as the operator or a replica does. */
    synchronized long put(String kind, String name, Map<String, Object> spec) {
        Map<String, Object> old = objects(kind).get(name);
        if (old != null && Json.write(old.get("spec")).equals(Json.write(spec))) return revision;
        return write(kind, name, spec, old == null ? null : old.get("status"));
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> old = objects(kind).remove(name);
        if (old != null) record(kind, old, true);
    }

    private TreeMap<String, Map<String, Object>> objects(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    private long write(String kind, String name, Object spec, Object status) {
        Map<String, Object> old = objects(kind).get(name);
        long created = old == null ? revision + 1 : (Long) meta(old).get("createRev");
        Map<String, Object> object = Json.map(
            "metadata",
            Json.map("name", name, "revision", revision + 1, "createRev", created, "finalizers", List.of(), "deleting", false),
            "spec", spec, "status", status);
        objects(kind).put(name, object);
        record(kind, object, false);
        return revision;
    }

    private void record(String kind, Map<String, Object> object, boolean tombstone) {
        revision++;
        history.add(new Change(revision, kind, object, tombstone));
        notifyAll();
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> meta(Map<String, Object> object) {
        return (Map<String, Object>) object.get("metadata");
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head;
            while ((head = Http.readHead(in)) != null) {
                String body = new String(Http.readBody(in, head, false), StandardCharsets.UTF_8);
                Object[] answer = busy ? new Object[] {503, Map.of()} : handle(head.startParts()[0], head.startParts()[1], body);
                byte[] bytes = Json.write(answer[1]).getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream().write(Rig.join(("HTTP/1.1 " + answer[0] + " Status\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n").getBytes(), bytes));
            }
        }
    }

    private synchronized Object[] handle(String method, String target, String body) throws Exception {
        String[] pathAndQuery = target.split("\\?", 2);
        String[] path = pathAndQuery[0].split("/");
        Map<String, String> query = new HashMap<>();
        if (pathAndQuery.length > 1) {
            for (String pair : pathAndQuery[1].split("&")) query.put(pair.split("=")[0], URLDecoder.decode(pair.split("=")[1], StandardCharsets.UTF_8));
        }
        String kind = path[2];
        String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : null;
        boolean status = path.length > 4;
        if (method.equals("GET") && name == null) return query.containsKey("watch") ? watch(kind, query) : list(kind, query);
        Map<String, Object> given = body.isEmpty() ? Map.of() : Json.object(body);
        Map<String, Object> metadata = given.containsKey("metadata") ? meta(given) : Map.of();
        if (method.equals("POST")) name = (String) metadata.get("name");
        Map<String, Object> old = objects(kind).get(name);
        if (method.equals("GET")) return old == null ? new Object[] {404, Map.of()} : new Object[] {200, old};
        if (method.equals("POST") && old != null) return new Object[] {409, old};
        if (!method.equals("POST") && old == null) return new Object[] {404, Map.of()};
        Object expected = query.containsKey("revision") ? Long.valueOf(query.get("revision")) : metadata.get("revision");
        if (!method.equals("POST") && expected != null && !expected.equals(meta(old).get("revision"))) return new Object[] {409, old};
        if (method.equals("DELETE")) {
            remove(kind, name);
            return new Object[] {200, old};
        }
        Object spec = status ? old.get("spec") : given.get("spec");
        Object newStatus = status ? given.get("status") : old == null ? null : old.get("status");
        boolean same = old != null && Json.write(old.get("spec")).equals(Json.write(spec)) && Json.write(old.get("status")).equals(Json.write(newStatus));
        if (!same) write(kind, name, spec, newStatus);
        return new Object[] {200, objects(kind).get(name)};
    }

    private Object[] list(String kind, Map<String, String> query) {
        String after = query.get("after");
        TreeMap<String, Map<String, Object>> all = objects(kind);
        List<Object> items = new ArrayList<>(after == null ? all.values() : all.tailMap(after, false).values());
        return new Object[] {200, Json.map("items", items, "more", false, "asOf", revision)};
    }

    private Object[] watch(String kind, Map<String, String> query) throws InterruptedException {
        long since = Long.parseLong(query.get("watch"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision > since && change.kind.equals(kind)) {
                    events.add(Json.map("object", change.object, "tombstone", change.tombstone));
                }
            }
            if (busy) return new Object[] {503, Map.of()};
            long left = until - System.currentTimeMillis();
            if (!events.isEmpty() || left <= 0) return new Object[] {200, Json.map("events", events, "asOf", revision)};
            wait(Math.min(left, 200));
        }
    }
}
