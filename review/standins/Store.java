import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: objects by kind and name, conditional writes, lists and watches. */
final class Store {
    private record Event(long revision, String kind, boolean tombstone, String object) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new LinkedHashMap<>();
    private final List<Event> history = new ArrayList<>();
    private final ServerSocket server = new ServerSocket();
    private long revision = 100;

    Store() throws IOException {
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        Standins.thread("store", () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                Standins.thread("store call", () -> serve(socket));
            }
        });
    }

    int port() {
        return server.getLocalPort();
    }

    /** Writes an object as the operator or a replica does; returns the revision, which is the confirmation. */
    synchronized long put(String kind, String name, Object spec) {
        Map<String, Object> old = kind(kind).get(name);
        if (old != null && Json.write(old.get("spec")).equals(Json.write(spec))) return revision;
        return store(kind, name, spec, old);
    }

    synchronized void remove(String kind, String name) {
        Map<String, Object> old = kind(kind).remove(name);
        if (old == null) return;
        revision++;
        history.add(new Event(revision, kind, true, Json.write(old)));
        notifyAll();
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, k -> new TreeMap<>());
    }

    @SuppressWarnings("unchecked")
    private long store(String kind, String name, Object spec, Map<String, Object> old) {
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", (double) revision);
        metadata.put("createRev", old == null ? (double) revision : ((Map<String, Object>) old.get("metadata")).get("createRev"));
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", null);
        kind(kind).put(name, object);
        history.add(new Event(revision, kind, false, Json.write(object)));
        notifyAll();
        return revision;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                String body = new String(Http.readBody(in, head, false), StandardCharsets.UTF_8);
                Thread.sleep(4);
                Answer answer = answer(head.method(), head.target(), body);
                byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 " + answer.status + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.write(bytes);
                out.flush();
            }
        }
    }

    private record Answer(int status, String body) {}

    private synchronized Answer answer(String method, String target, String body) throws Exception {
        String[] parts = target.split("\\?", 2);
        Map<String, String> query = new LinkedHashMap<>();
        if (parts.length > 1) {
            for (String pair : parts[1].split("&")) query.put(pair.split("=")[0], pair.split("=", 2)[1]);
        }
        String[] path = parts[0].split("/");
        String kind = path[2];
        String name = path.length > 3 ? URLDecoder.decode(path[3], StandardCharsets.UTF_8) : null;
        return switch (method) {
            case "GET" -> name != null ? read(kind, name)
                : query.containsKey("watch") ? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("waitMs")))
                : list(kind);
            case "POST" -> write(kind, null, body);
            case "PUT" -> write(kind, name, body);
            case "DELETE" -> {
                Answer before = read(kind, name);
                remove(kind, name);
                yield before;
            }
            default -> new Answer(400, "{}");
        };
    }

    private Answer read(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? new Answer(404, "{}") : new Answer(200, Json.write(object));
    }

    private Answer list(String kind) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("items", new ArrayList<>(kind(kind).values()));
        answer.put("more", false);
        answer.put("asOf", (double) revision);
        return new Answer(200, Json.write(answer));
    }

    private Answer watch(String kind, long since, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() / 1_000_000 + Math.min(waitMillis, 30_000);
        while (true) {
            List<String> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision > since && event.kind.equals(kind)) {
                    events.add("{\"tombstone\":" + event.tombstone + ",\"object\":" + event.object + "}");
                }
            }
            long left = until - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new Answer(200, "{\"events\":[" + String.join(",", events) + "],\"asOf\":" + revision + "}");
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Answer write(String kind, String pathName, String body) {
        Map<String, Object> object = Json.object(body);
        Map<String, Object> metadata = (Map<String, Object>) object.get("metadata");
        String name = pathName != null ? pathName : (String) metadata.get("name");
        Map<String, Object> old = kind(kind).get(name);
        Object expected = metadata.get("revision");
        if (pathName == null && old != null) return new Answer(409, Json.write(old));
        if (pathName != null && old == null) return new Answer(404, "{}");
        if (expected != null && !expected.equals(((Map<String, Object>) old.get("metadata")).get("revision"))) {
            return new Answer(409, Json.write(old));
        }
        put(kind, name, object.get("spec"));
        return read(kind, name);
    }
}
