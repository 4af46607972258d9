import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** LOST: the process runs out of memory when replicas answer long bodies early and read on later. */
final class Case11 {
    private static final int BODY_BYTES = 4_190_000;
    private static final int UPLOADERS = 6;
    private static final int PAYERS = 20;
    private static final int READERS = 40;
    private static final long UPLOADS_MILLIS = 60_000;
    private static final long READ_ON_MILLIS = 60_000;
    private static final long FIRST_EVENT_MILLIS = 1_500;

    // A consumer abandons a stream without a first event after four times the objective.
    private static final int FIRST_EVENT_LIMIT_MILLIS = 4_000;
    private static final int ALLOWED = 3;

    public static void main(String[] arguments) { Kit.run(arguments[0], Case11::test); }

    /** Answers a long body as soon as its head has arrived, keeps the channel, and reads the body later. */
    private static final class EarlyReplica extends Replica {
        EarlyReplica(Kit kit, String id) throws IOException {
            super(kit, id, "uploads", "tokaj-a");
            // Links have small windows.
            server.listener.setReceiveBufferSize(4_096);
        }

        @Override
        boolean serve(Http.Message request, Arrival arrival, Socket socket, InputStream in, OutputStream out)
            throws Exception {
            if (!Kit.TROUBLE) return super.serve(request, arrival, socket, in, out);
            arrival.outcome = "answered early";
            Http.write(out, "HTTP/1.1 200 OK", sealed(arrival), ("done " + arrival.id).getBytes());
            Kit.sleep(READ_ON_MILLIS);
            Http.readBody(in, request, false);
            return true;
        }

        @Override
        List<String> sealed(Arrival arrival) {
            List<String> fields = new ArrayList<>(super.sealed(arrival));
            fields.removeIf(field -> field.startsWith("Keep-Alive"));
            fields.add("Keep-Alive: timeout=1");
            return fields;
        }
    }

    /** Answers with a stream whose first event takes a while. */
    private static final class DraftReplica extends Replica {
        DraftReplica(Kit kit, String id) throws IOException { super(kit, id, "drafts", "tokaj-a"); }

        @Override
        boolean serve(Http.Message request, Arrival arrival, Socket socket, InputStream in, OutputStream out)
            throws Exception {
            Http.readBody(in, request, false);
            Kit.sleep(FIRST_EVENT_MILLIS);
            List<String> fields = new ArrayList<>(sealed(arrival));
            fields.add("Content-Type: text/event-stream");
            fields.add("Transfer-Encoding: chunked");
            out.write(Http.head("HTTP/1.1 200 OK", fields));
            for (int number = 1; number <= 3; number++) {
                String event = "id: " + number + "\ndata: draft of " + arrival.id + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes());
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
            arrival.outcome = "answered";
            return true;
        }
    }

    private static boolean test(Kit kit) throws Exception {
        Store store = new Store();
        List<Replica> replicas = new ArrayList<>();
        for (int number = 1; number <= 3; number++) replicas.add(new EarlyReplica(kit, "i-uploads-" + number));
        List<Replica> payouts = new ArrayList<>();
        for (int number = 1; number <= 8; number++) {
            Replica replica = new Replica(kit, "i-payouts-" + number, "payouts", "tokaj-a");
            replica.workMillis = 200;
            payouts.add(replica);
        }
        for (int number = 1; number <= 8; number++) payouts.add(new DraftReplica(kit, "i-drafts-" + number));
        Map<String, Object> drafts = Kit.route("r-draft", "/draft/", "streaming", "drafts", 15_000, 1);
        drafts.put("sloMs", 1_000);
        drafts.put("gapTargetMs", 500);
        drafts.put("resumable", false);
        store.put("config", "main", Kit.configuration(7,
            List.of(Kit.route("r-up", "/up/", "idempotent", "uploads", 1_000, 2),
                Kit.route("r-pay", "/pay/", "non_idempotent", "payouts", 800, 1), drafts),
            List.of(Kit.service("uploads", 0, 0), Kit.service("payouts", 0, 0), Kit.service("drafts", 0, 0))));
        for (Replica replica : replicas) replica.register(store, "ready", 0);
        for (Replica replica : payouts) replica.register(store, "ready", 0);
        Kit.Daemon daemon = kit.new Daemon("edge-tokaj-a-1", "tokaj-a");
        daemon.writeSettings(store.server.address, List.of(daemon.peers));
        daemon.start();
        daemon.awaitReady(30_000);

        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        Map<String, Integer> uploads = new ConcurrentHashMap<>();
        Map<String, String> paid = new ConcurrentHashMap<>();
        Set<String> kept = ConcurrentHashMap.newKeySet();
        for (int number = 0; number < PAYERS; number++) {
            clients.add(Http.start("payer", () -> consumer(kit, daemon, ended, paid, kept, "/pay/", 1_500, 1_500)));
        }
        for (int number = 0; number < READERS; number++) {
            clients.add(Http.start("reader",
                () -> consumer(kit, daemon, ended, paid, kept, "/draft/", 15_000, FIRST_EVENT_LIMIT_MILLIS)));
        }
        Kit.sleep(5_000);
        for (int number = 0; number < UPLOADERS; number++) {
            clients.add(Http.start("uploader", () -> uploader(kit, daemon, ended, uploads)));
        }
        long startMillis = kit.millis();
        while (daemon.process.isAlive() && kit.millis() < startMillis + UPLOADS_MILLIS) {
            kit.note("resident set " + daemon.residentKilobytes() + " kB, uploads " + uploads);
            Kit.sleep(500);
        }
        boolean alive = daemon.process.isAlive();
        kit.say(alive ? "the process lives" : "the process has ended by itself with exit status "
            + daemon.process.exitValue() + ", " + (kit.millis() - startMillis) + " ms after the first upload");
        ended.set(true);
        for (Thread client : clients) client.join(3_000);
        kit.say("uploads by answer: " + uploads);

        int lost = 0;
        for (Replica replica : payouts) {
            for (Replica.Arrival arrival : new ArrayList<>(replica.arrivals)) {
                String answer = paid.get(arrival.id);
                if (answer == null || !answer.startsWith("channel ended") || !kept.contains(arrival.id)) continue;
                lost++;
                kit.note("request " + arrival.id + " was passed on to " + replica.id + "; its client got: " + answer);
            }
        }
        kit.say("payouts and drafts: " + paid.size() + ", passed on from a kept channel that was then closed without an answer: " + lost);
        String log = daemon.log();
        kit.note("last lines of the log: " + log.substring(Math.max(0, log.length() - 800)));
        return lost > ALLOWED;
    }

    private static void uploader(Kit kit, Kit.Daemon daemon, AtomicBoolean ended, Map<String, Integer> uploads) {
        byte[] body = new byte[BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        while (!ended.get()) {
            String id = Kit.newId();
            try (Http.Client client = new Http.Client(daemon.callers)) {
                Http.Answer answer = client.call("POST", "/up/" + id, Kit.fields(id, 1_000), body, 1_500);
                kit.note("upload " + id + ", answered " + answer.show() + " after " + answer.millis + " ms");
                uploads.merge(answer.show(), 1, Integer::sum);
            } catch (IOException e) {
                kit.note("uploader could not connect: " + e.getMessage());
            }
            Kit.sleep(250);
        }
    }

    /** Sends requests on a kept channel; gives up after [limitMillis] without a part of the answer. */
    private static void consumer(Kit kit, Kit.Daemon daemon, AtomicBoolean ended, Map<String, String> paid,
        Set<String> kept, String path, int deadlineMillis, int limitMillis) {
        Http.Client client = null;
        int requests = 0;
        while (!ended.get()) {
            String id = Kit.newId();
            try {
                if (client == null) {
                    client = new Http.Client(daemon.callers);
                    requests = 0;
                }
                if (requests++ > 0) kept.add(id);
                Http.Answer answer =
                    client.call("POST", path + id, Kit.fields(id, deadlineMillis), "amount".getBytes(), limitMillis);
                paid.put(id, answer.show());
                kit.note(path + id + ", answered " + answer.show() + " after " + answer.millis + " ms");
                if (answer.failure != null || "close".equals(answer.message.field("connection"))) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                kit.note("consumer could not connect: " + e.getMessage());
                client = null;
                Kit.sleep(100);
            }
            Kit.sleep(20);
        }
    }
}
