import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** CONFIG: the machine that is left after an outage of the store does not ask the store again for up to 8 seconds. */
final class Case15 {
    private static final long CONTACT_MILLIS = 4_000;
    private static final long APPLY_MILLIS = 2_500;
    private static final long LONGEST_DOWN_MILLIS = 8_000;

    public static void main(String[] arguments) { Kit.run(arguments[0], Case15::test); }

    private static boolean test(Kit kit) throws Exception {
        Store store = new Store();
        Replica former = new Replica(kit, "i-former", "tally-1", "tokaj-a");
        Replica present = new Replica(kit, "i-present", "tally-2", "tokaj-a");
        List<Object> services = List.of(Kit.service("tally-1", 0, 0), Kit.service("tally-2", 0, 0));
        store.put("config", "main", Kit.configuration(7,
            List.of(Kit.route("r-pay", "/pay/", "non_idempotent", "tally-1", 800, 1)), services));
        former.register(store, "ready", 0);
        present.register(store, "ready", 0);
        List<Kit.Daemon> daemons = new ArrayList<>();
        List<Store.Door> doors = new ArrayList<>();
        List<String> seeds = new ArrayList<>();
        for (int number = 1; number <= 4; number++) {
            daemons.add(kit.new Daemon("edge-tokaj-a-" + number, "tokaj-a"));
            doors.add(store.new Door());
            if (number <= 3) seeds.add(daemons.get(number - 1).peers);
        }
        for (int index = 0; index < daemons.size(); index++) {
            daemons.get(index).writeSettings(doors.get(index).server.address, seeds);
            daemons.get(index).start();
        }
        for (Kit.Daemon daemon : daemons) daemon.awaitReady(40_000);
        Kit.sleep(14_000);
        kit.say("registered: " + store.names("members"));
        int left = -1;
        for (Store.Door door : doors) door.watches.set(0);
        Kit.sleep(3_000);
        for (int index = 0; index < daemons.size(); index++) {
            kit.say(daemons.get(index).name + " made " + doors.get(index).watches + " watches in 3 s");
            if (doors.get(index).watches.get() == 0) left = index;
        }
        if (left < 0) throw new IllegalStateException("all machines watch the store");
        Kit.Daemon daemon = daemons.get(left);
        Store.Door door = doors.get(left);

        AtomicBoolean ended = new AtomicBoolean();
        List<Long> sent = new CopyOnWriteArrayList<>();
        Map<String, Long> sentMillis = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < 2; number++) {
            clients.add(Http.start("client", () -> client(kit, daemon, ended, sentMillis)));
        }
        kit.say("the other machines are lost; " + daemon.name + " is left");
        for (Kit.Daemon other : daemons) if (other != daemon) other.kill();
        if (Kit.TROUBLE) {
            long downMillis = kit.millis();
            door.rejected.set(0);
            door.rejectedMillis = 0;
            door.pauses.set(0);
            for (Store.Door each : doors) each.rejects = true;
            kit.say("the store is down");
            // Ends when the machine has paused twice between its calls, at the longest dose at the latest.
            while (door.pauses.get() < 2 && kit.millis() < downMillis + LONGEST_DOWN_MILLIS) Kit.sleep(5);
            for (Store.Door each : doors) each.rejects = false;
            kit.say("the store is back after " + (kit.millis() - downMillis) + " ms, in which " + daemon.name + " tried "
                + door.rejected + " watches");
        } else {
            Kit.sleep(6_000);
        }
        long backMillis = kit.millis();
        Kit.sleep(1_400);
        store.put("config", "main", Kit.configuration(8,
            List.of(Kit.route("r-pay", "/pay/", "non_idempotent", "tally-2", 800, 1)), services));
        long confirmedMillis = kit.millis();
        kit.say("version 8 is confirmed: the route moves to another service");
        Kit.sleep(10_000 + backMillis - kit.millis());
        ended.set(true);
        for (Thread client : clients) client.join(3_000);

        long fromMillis = Math.max(confirmedMillis + APPLY_MILLIS, backMillis + CONTACT_MILLIS);
        int late = 0;
        long last = 0;
        for (Replica.Arrival arrival : new ArrayList<>(former.arrivals)) {
            long at = sentMillis.getOrDefault(arrival.id, 0L);
            if (at <= fromMillis) continue;
            late++;
            last = Math.max(last, at);
            kit.note("run by the former service: " + arrival.id + ", sent " + (at - confirmedMillis)
                + " ms after the confirmation and " + (at - backMillis) + " ms after the store's return");
        }
        kit.say("requests run by the former service though sent later than configApplyMs after the confirmation and"
            + " contactMs after the store's return: " + late
            + (late > 0 ? ", the last " + (last - confirmedMillis) + " ms after the confirmation" : ""));
        for (String line : daemon.log().split("\n")) {
            if (line.contains("configuration.") || line.contains("store.") || line.contains("members")) kit.note("log " + line);
        }
        return late > 0;
    }

    private static void client(Kit kit, Kit.Daemon daemon, AtomicBoolean ended, Map<String, Long> sentMillis) {
        while (!ended.get()) {
            String id = Kit.newId();
            try (Http.Client client = new Http.Client(daemon.callers)) {
                sentMillis.put(id, kit.millis());
                Http.Answer answer = client.call("POST", "/pay/" + id, Kit.fields(id, 1_500), "amount".getBytes(), 2_000);
                kit.note("client sent " + id + ", answered " + answer.show() + " after " + answer.millis + " ms");
            } catch (java.io.IOException e) {
                kit.note("client could not connect: " + e.getMessage());
            }
            Kit.sleep(50);
        }
    }
}
