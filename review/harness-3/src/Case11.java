import java.io.*;
import java.net.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** LOST: the process runs out of memory when replicas answer long bodies early and read on later. */
final class Case11 {
    private static final int BODY_BYTES = 4_190_000;
    private static final int UPLOADERS = 6;
    private static final int PAYERS = 40;
    private static final long UPLOADS_MILLIS = 60_000;
    private static final long READ_ON_MILLIS = 30_000;
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
        store.put("config", "main", Kit.configuration(7,
            List.of(Kit.route("r-up", "/up/", "idempotent", "uploads", 1_000, 2),
                Kit.route("r-pay", "/pay/", "non_idempotent", "payouts", 800, 1)),
            List.of(Kit.service("uploads", 0, 0), Kit.service("payouts", 0, 0))));
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
            clients.add(Http.start("payer", () -> payer(kit, daemon, ended, paid, kept)));
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
                kit.note("payout " + arrival.id + " was passed on to " + replica.id + "; its client got: " + answer);
            }
        }
        kit.say("payouts: " + paid.size() + ", passed on from a kept channel that was then closed without an answer: " + lost);
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

    private static void payer(Kit kit, Kit.Daemon daemon, AtomicBoolean ended, Map<String, String> paid,
        Set<String> kept) {
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
                Http.Answer answer = client.call("POST", "/pay/" + id, Kit.fields(id, 1_500), "amount".getBytes(), 2_000);
                paid.put(id, answer.show());
                kit.note("payout " + id + ", answered " + answer.show() + " after " + answer.millis + " ms");
                if (answer.failure != null || "close".equals(answer.message.field("connection"))) {
                    client.close();
                    client = null;
                }
            } catch (IOException e) {
                kit.note("payer could not connect: " + e.getMessage());
                client = null;
                Kit.sleep(100);
            }
            Kit.sleep(20);
        }
    }
}
