import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** FAILBACK: a machine that starts while the store turns it away sends a cold replica the share of all machines. */
final class Case14 {
    private static final double COLD_PER_S = 9.4;
    private static final double BOUND = COLD_PER_S * 1.5 + 5;

    public static void main(String[] arguments) { Kit.run(arguments[0], Case14::test); }

    private static boolean test(Kit kit) throws Exception {
        Store store = new Store();
        Store.Door door = store.new Door();
        Replica replica = new Replica(kit, "i-reads", "reads", "tokaj-a");
        store.put("config", "main", Kit.configuration(7,
            List.of(Kit.route("r-read", "/read/", "idempotent", "reads", 800, 2)),
            List.of(Kit.service("reads", 3.0, COLD_PER_S))));
        replica.register(store, "ready", 0);
        List<Kit.Daemon> daemons = new ArrayList<>();
        for (int number = 1; number <= 3; number++) daemons.add(kit.new Daemon("edge-tokaj-a-" + number, "tokaj-a"));
        List<String> seeds = new ArrayList<>();
        for (Kit.Daemon daemon : daemons) seeds.add(daemon.peers);
        Kit.Daemon restarted = daemons.get(1);
        for (Kit.Daemon daemon : daemons) {
            daemon.writeSettings(daemon == restarted ? door.server.address : store.server.address, seeds);
            daemon.start();
        }
        for (Kit.Daemon daemon : daemons) daemon.awaitReady(40_000);
        // Long enough for all to be registered, listed and in touch.
        Kit.sleep(14_000);
        kit.say("registered: " + store.names("members"));

        if (Kit.TROUBLE) {
            door.rejects = true;
            kit.say("the store turns " + restarted.name + " away");
        }
        kit.say(restarted.name + " is killed and starts again");
        restarted.kill();
        restarted.start();
        restarted.awaitReady(8_000);

        AtomicBoolean ended = new AtomicBoolean();
        List<Thread> clients = new ArrayList<>();
        for (Kit.Daemon daemon : daemons) {
            for (int number = 0; number < 8; number++) {
                clients.add(Http.start("client", () -> client(kit, daemon, ended)));
            }
        }
        // The replica comes back cold, under another id.
        replica.end();
        store.remove("servers", replica.id);
        Replica cold = new Replica(kit, "i-cold", "reads", "tokaj-a");
        long bornMillis = kit.millis();
        long coldMillis = 3_000;
        cold.register(store, "ready", coldMillis);
        kit.say("the replica is back as " + cold.id + ", cold for " + coldMillis + " ms");
        Kit.sleep(coldMillis);
        ended.set(true);
        for (Thread client : clients) client.join(3_000);

        List<Long> times = new ArrayList<>();
        for (Replica.Arrival arrival : new ArrayList<>(cold.arrivals)) {
            if (arrival.millis < bornMillis + coldMillis) times.add(arrival.millis);
            kit.note("at " + cold.id + ": " + arrival.id + " " + (arrival.millis - bornMillis) + " ms after its start");
        }
        Collections.sort(times);
        int most = 0;
        for (int last = 0, first = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= 1_000) first++;
            most = Math.max(most, last - first + 1);
        }
        kit.say("requests at the cold replica: " + times.size() + ", most in one second: " + most + ", the rule allows " + BOUND);
        for (Kit.Daemon daemon : daemons) {
            for (String line : daemon.log().split("\n")) {
                if (line.contains("members.") || line.contains("store.")) kit.note("log of " + daemon.name + " " + line);
            }
        }
        return most > BOUND;
    }

    private static void client(Kit kit, Kit.Daemon daemon, AtomicBoolean ended) {
        while (!ended.get()) {
            String id = Kit.newId();
            try (Http.Client client = new Http.Client(daemon.callers)) {
                Http.Answer answer = client.call("GET", "/read/" + id, Kit.fields(id, 1_500), new byte[0], 2_000);
                kit.note("client of " + daemon.name + " sent " + id + ", answered " + answer.show());
            } catch (java.io.IOException e) {
                kit.note("client could not connect: " + e.getMessage());
            }
            Kit.sleep(200);
        }
    }
}
