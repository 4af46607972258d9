import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** ROUTE: an entry of another writer, in which a field is missing, is used like that of a replica. */
final class Case12 {
    private static final long BEAT_MILLIS = 1_200;

    public static void main(String[] arguments) { Kit.run(arguments[0], Case12::test); }

    private static boolean test(Kit kit) throws Exception {
        Store store = new Store();
        Replica payouts = new Replica(kit, "i-payouts", "payouts", "tokaj-a");
        Replica reads = new Replica(kit, "i-reads", "reads", "tokaj-a");
        store.put("config", "main", Kit.configuration(7,
            List.of(Kit.route("r-pay", "/pay/", "non_idempotent", "payouts", 800, 1),
                Kit.route("r-read", "/read/", "idempotent", "reads", 800, 2)),
            List.of(Kit.service("payouts", 0, 0), Kit.service("reads", 0, 0))));
        payouts.register(store, "ready", 0);
        reads.register(store, "ready", 0);
        Kit.Daemon daemon = kit.new Daemon("edge-tokaj-a-1", "tokaj-a");
        daemon.writeSettings(store.server.address, List.of(daemon.peers));
        daemon.start();
        daemon.awaitReady(30_000);

        AtomicBoolean ended = new AtomicBoolean();
        Map<String, String> paid = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            clients.add(Http.start("client", () -> client(kit, daemon, ended, paid)));
        }
        Kit.sleep(6_000);
        if (Kit.TROUBLE) {
            Map<String, Object> entry = Kit.entry("payouts", reads.address(), "tokaj-a", "ready", 0, reads.born, 0);
            entry.remove("seq");
            store.put("servers", reads.id, entry);
            kit.say("another writer writes servers/" + reads.id + ": " + Json.write(entry));
        }
        // The replica writes its own entry again with its next beat.
        Kit.sleep(BEAT_MILLIS);
        reads.register(store, "ready", 0);
        kit.say(reads.id + " has written its own entry again");
        Kit.sleep(2_000);
        ended.set(true);
        for (Thread client : clients) client.join(3_000);

        int wrong = 0;
        for (Replica.Arrival arrival : new ArrayList<>(reads.arrivals)) {
            String answer = paid.get(arrival.id);
            if (answer == null) continue;
            wrong++;
            kit.note("payout " + arrival.id + " was run by " + reads.id + " of the service reads; its client got " + answer);
        }
        kit.say("payouts: " + paid.size() + ", run by a replica of another service: " + wrong);
        for (String line : daemon.log().split("\n")) {
            if (line.contains("endpoint.")) kit.note("log " + line);
        }
        return wrong > 0;
    }

    private static void client(Kit kit, Kit.Daemon daemon, AtomicBoolean ended, Map<String, String> paid) {
        while (!ended.get()) {
            String id = Kit.newId();
            try (Http.Client client = new Http.Client(daemon.callers)) {
                Http.Answer answer = client.call("POST", "/pay/" + id, Kit.fields(id, 1_500), "amount".getBytes(), 2_000);
                paid.put(id, answer.show());
                kit.note("client sent payout " + id + ", answered " + answer.show());
            } catch (java.io.IOException e) {
                kit.note("client could not connect: " + e.getMessage());
            }
            Kit.sleep(60);
        }
    }
}
