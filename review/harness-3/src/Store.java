import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;

/** Stand-in of the platform's store of metadata: objects with revisions, lists, watches and conditional writes. */
final class Store {
    private static final class Event {
        final long revision;
        final Map<String, Object> object;
        final boolean tombstone;

        Event(long revision, Map<String, Object> object, boolean tombstone) {
            this.revision = revision;
            this.object = object;
            this.tombstone = tombstone;
        }
    }

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();
    private final Map<String, List<Event>> events = new HashMap<>();
    private final Set<Socket> watching = ConcurrentHashMap.newKeySet();
    private long revision = 100;
    final Http.Server server;

    /** An address of the store of its own, for one machine, which the store can turn away. */
    final class Door {
        final Http.Server server;

        /** While true, the calls of this machine are answered with 503 and nothing is done. */
        volatile boolean rejects;

        /** When the last watch was turned away, and how often that was 0.9 s or more after the one before. */
        volatile long rejectedMillis;
        final java.util.concurrent.atomic.AtomicInteger pauses = new java.util.concurrent.atomic.AtomicInteger();

        /** The watches that were served, and those that were turned away. */
        final java.util.concurrent.atomic.AtomicInteger watches = new java.util.concurrent.atomic.AtomicInteger();
        final java.util.concurrent.atomic.AtomicInteger rejected = new java.util.concurrent.atomic.AtomicInteger();

        Door() throws IOException { server = new Http.Server((request, socket, in, out) -> handle(this, request, socket, in, out)); }
    }

    /** Called for each call that is served. */
    volatile java.util.function.Consumer<String> onCall = call -> { };

    Store() throws IOException { server = new Door().server; }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, key -> new TreeMap<>());
    }

    /** Writes an object as the operator or a server does; returns its revision. */
    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> known = kind(kind).get(name);
        long created = known == null ? revision + 1 : (Long) metadata(known).get("createRev");
        revision++;
        Map<String, Object> object = Json.object("metadata", Json.object("name", name, "revision", revision,
            "createRev", created, "finalizers", new ArrayList<>(), "deleting", false), "spec", spec, "status", null);
        kind(kind).put(name, object);
        record(kind, object, false);
        return revision;
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> known = kind(kind).remove(name);
        if (known == null) return;
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>(metadata(known));
        metadata.put("revision", revision);
        Map<String, Object> object = new LinkedHashMap<>(known);
        object.put("metadata", metadata);
        record(kind, object, true);
    }

    synchronized Map<String, Object> get(String kind, String name) { return kind(kind).get(name); }

    synchronized Set<String> names(String kind) { return new TreeSet<>(kind(kind).keySet()); }

    /** Cuts off the watches that wait at this moment: their channels are closed without an answer. */
    int cutWatches() {
        int count = 0;
        for (Socket socket : new ArrayList<>(watching)) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
            count++;
        }
        return count;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> metadata(Map<String, Object> object) {
        return (Map<String, Object>) object.get("metadata");
    }

    private void record(String kind, Map<String, Object> object, boolean tombstone) {
        events.computeIfAbsent(kind, key -> new ArrayList<>()).add(new Event(revision, object, tombstone));
        notifyAll();
    }

    private boolean handle(Door door, Http.Message request, Socket socket, InputStream in, OutputStream out)
        throws Exception {
        Http.readBody(in, request, false);
        if (door.rejects) {
            if (request.target().contains("watch=")) {
                long now = System.nanoTime() / 1_000_000;
                if (door.rejectedMillis > 0 && now - door.rejectedMillis >= 900) door.pauses.incrementAndGet();
                door.rejectedMillis = now;
                door.rejected.incrementAndGet();
            }
            Http.write(out, "HTTP/1.1 503 Service Unavailable", List.of(), new byte[0]);
            return true;
        }
        Thread.sleep(4);
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], "UTF-8"));
            }
        }
        String[] path = target[0].substring(1).split("/");
        String kind = path[1];
        String name = path.length > 2 ? URLDecoder.decode(path[2], "UTF-8") : null;
        onCall.accept(request.start);
        Object[] answer;
        if (query.containsKey("watch")) {
            watching.add(socket);
            door.watches.incrementAndGet();
            try {
                answer = watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("waitMs")));
            } finally {
                watching.remove(socket);
            }
        } else {
            answer = call(request, kind, name, query);
        }
        Http.write(out, "HTTP/1.1 " + answer[0] + " Status", List.of("Content-Type: application/json"),
            Json.write(answer[1]).getBytes("UTF-8"));
        return true;
    }

    private synchronized Object[] watch(String kind, long since, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() / 1_000_000 + waitMillis;
        while (true) {
            List<Object> changes = new ArrayList<>();
            for (Event event : events.getOrDefault(kind, List.of())) {
                if (event.revision > since) {
                    changes.add(Json.object("tombstone", event.tombstone, "object", event.object));
                }
            }
            long left = until - System.nanoTime() / 1_000_000;
            if (!changes.isEmpty() || left <= 0) {
                return new Object[] {200, Json.object("events", changes, "asOf", revision)};
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Object[] call(Http.Message request, String kind, String name, Map<String, String> query) {
        Map<String, Object> body =
            request.body.length > 0 ? (Map<String, Object>) Json.parse(request.text()) : Json.object();
        Map<String, Object> meta = (Map<String, Object>) body.getOrDefault("metadata", Json.object());
        switch (request.method()) {
            case "GET":
                if (name == null) {
                    List<Object> items = new ArrayList<>(kind(kind).values());
                    return new Object[] {200, Json.object("items", items, "more", false, "asOf", revision)};
                }
                Map<String, Object> found = kind(kind).get(name);
                return found == null ? new Object[] {404, Json.object()} : new Object[] {200, found};
            case "POST":
                name = (String) meta.get("name");
                if (kind(kind).containsKey(name)) return new Object[] {409, kind(kind).get(name)};
                put(kind, name, body.get("spec"));
                return new Object[] {201, kind(kind).get(name)};
            case "PUT":
                Map<String, Object> known = kind(kind).get(name);
                if (known == null) return new Object[] {404, Json.object()};
                Object expected = meta.get("revision");
                if (expected != null && !expected.equals(metadata(known).get("revision"))) return new Object[] {409, known};
                put(kind, name, body.get("spec"));
                return new Object[] {200, kind(kind).get(name)};
            case "DELETE":
                if (!kind(kind).containsKey(name)) return new Object[] {404, Json.object()};
                remove(kind, name);
                return new Object[] {200, Json.object()};
            default:
                return new Object[] {400, Json.object()};
        }
    }
}
