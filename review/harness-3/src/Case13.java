import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** DRAIN: a replica whose entry was removed gets requests for as long as waiting watches are cut off now and then. */
final class Case13 {
    private static final long DRAIN_MILLIS = 2_500;
    private static final long STAYS_MILLIS = 4_000;

    public static void main(String[] arguments) { Kit.run(arguments[0], Case13::test); }

    private static boolean test(Kit kit) throws Exception {
        Store store = new Store();
        Replica leaving = new Replica(kit, "i-leaves", "payouts", "tokaj-a");
        Replica staying = new Replica(kit, "i-stays", "payouts", "tokaj-a");
        store.put("config", "main", Kit.configuration(7,
            List.of(Kit.route("r-pay", "/pay/", "non_idempotent", "payouts", 800, 1)),
            List.of(Kit.service("payouts", 0, 0))));
        leaving.workMillis = 100;
        staying.workMillis = 100;
        leaving.register(store, "ready", 0);
        staying.register(store, "ready", 0);
        Kit.Daemon daemon = kit.new Daemon("edge-tokaj-a-1", "tokaj-a");
        daemon.writeSettings(store.server.address, List.of(daemon.peers));
        daemon.start();
        daemon.awaitReady(30_000);

        AtomicBoolean ended = new AtomicBoolean();
        Map<String, String> answers = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            int first = number;
            clients.add(Http.start("client", () -> client(kit, daemon, first, ended, answers)));
        }
        // Longer than contactMs, in which nothing happens.
        Kit.sleep(6_000);

        if (Kit.TROUBLE) kit.say("watches cut off: " + store.cutWatches());
        store.remove("servers", leaving.id);
        long goneMillis = kit.millis();
        kit.say("the entry of " + leaving.id + " is removed; it goes on serving for " + STAYS_MILLIS + " ms");
        for (long at = 1_000; at < STAYS_MILLIS; at += 1_000) {
            Kit.sleep(goneMillis + at - kit.millis());
            if (Kit.TROUBLE) kit.say("watches cut off: " + store.cutWatches());
        }
        Kit.sleep(goneMillis + STAYS_MILLIS - kit.millis());
        leaving.end();
        kit.say(leaving.id + " has exited");
        Kit.sleep(1_500);
        ended.set(true);
        for (Thread client : clients) client.join(3_000);

        int late = 0;
        int broken = 0;
        long last = 0;
        for (Replica.Arrival arrival : new ArrayList<>(leaving.arrivals)) {
            long after = arrival.millis - goneMillis;
            kit.note("at " + leaving.id + ": " + arrival.id + ", " + after + " ms after its removal, the client got "
                + answers.get(arrival.id));
            if (after <= DRAIN_MILLIS) continue;
            late++;
            last = Math.max(last, after);
            if (!"200".equals(answers.get(arrival.id))) broken++;
        }
        kit.say("requests at the removed replica later than drainMs (" + DRAIN_MILLIS + " ms): " + late
            + ", the last after " + last + " ms; " + broken + " of them were not answered with 200");
        for (String line : daemon.log().split("\n")) {
            if (line.contains("endpoint.") || line.contains("store.")) kit.note("log " + line);
        }
        return late > 0;
    }

    private static void client(Kit kit, Kit.Daemon daemon, int first, AtomicBoolean ended, Map<String, String> answers) {
        Http.Client client = null;
        Kit.sleep(first * 25L);
        while (!ended.get()) {
            String id = Kit.newId();
            try {
                if (client == null) client = new Http.Client(daemon.callers);
                Http.Answer answer = client.call("POST", "/pay/" + id, Kit.fields(id, 1_500), "amount".getBytes(), 2_000);
                answers.put(id, answer.show());
                kit.note("client sent " + id + ", answered " + answer.show() + " after " + answer.millis + " ms");
                if (answer.failure != null || "close".equals(answer.message.field("connection"))) {
                    client.close();
                    client = null;
                }
            } catch (java.io.IOException e) {
                kit.note("client could not connect: " + e.getMessage());
            }
            Kit.sleep(30);
        }
    }
}
