package rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** The store is down and all daemons are killed meanwhile; the replicas of a service come back cold. */
public final class ColdRestart implements Rig.Case {
    private static final int DEADLINE = 1_500;
    private static final int DAEMONS = 4;
    private static final int COLD_PER_S = 8;
    private static final double LIMIT = COLD_PER_S * 1.5 + 5;

    @Override
    public boolean run(boolean trouble, Path temporary) throws Exception {
        Store store = new Store();
        List<Replica> replicas = new ArrayList<>();
        List<List<Long>> arrivals = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            List<Long> times = new ArrayList<>();
            arrivals.add(times);
            Replica replica = new Replica(store, "app", "i-app-" + i, 0, (self, head, in, out, socket) -> {
                synchronized (times) {
                    times.add(System.currentTimeMillis());
                }
                Rig.note(self.id + " runs " + head.field("X-Parsleymoor-Attempt-Id"));
                Thread.sleep(20);
                Replica.answer(head, out, "done");
            });
            replicas.add(replica);
        }
        var service = Rig.service("app");
        service.put("coldStartS", 10);
        service.put("coldPerS", COLD_PER_S);
        store.put("config", "main", Rig.state(1, List.of(Rig.route("get", "/get/", "idempotent", "app", 800, 2, false)), List.of(service)));
        List<String> controls = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) controls.add(Daemon.freeAddress());
        Daemon[] daemons = new Daemon[DAEMONS];
        for (int i = 0; i < DAEMONS; i++) daemons[i] = new Daemon("edge-" + i, store, temporary, controls.subList(0, 3), controls.get(i));
        for (Daemon daemon : daemons) daemon.awaitReady(30_000);
        Thread.sleep(22_000);
        AtomicInteger number = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        for (int i = 0; i < 24; i++) {
            Rig.background("consumer", () -> {
                while (true) {
                    Daemon daemon = daemons[ThreadLocalRandom.current().nextInt(DAEMONS)];
                    String id = "get-" + number.incrementAndGet();
                    String seen = Client.call(daemon.front, "GET", "/get/a", id, DEADLINE);
                    Rig.note(id + " sent to " + daemon.name + ": " + seen);
                    if (seen.startsWith("200")) served.incrementAndGet();
                    Thread.sleep(200);
                }
            });
        }
        Thread.sleep(3_000);
        if (trouble) {
            Rig.note("the store is down, and all daemons are killed");
            store.busy = true;
            for (Daemon daemon : daemons) daemon.process.destroyForcibly();
            Thread.sleep(500);
            for (int i = 0; i < DAEMONS; i++) daemons[i] = new Daemon(daemons[i], store, temporary);
            Thread.sleep(7_500);
        }
        Rig.note("the replicas have started again, cold");
        long coldAt = System.currentTimeMillis();
        cold(replicas, coldAt);
        Rig.background("cold", () -> {
            while (true) {
                Thread.sleep(1_000);
                cold(replicas, coldAt);
            }
        });
        if (trouble) Rig.note("the store is back");
        store.busy = false;
        Thread.sleep(8_000);
        long until = System.currentTimeMillis();
        int worst = 0;
        for (List<Long> times : arrivals) {
            List<Long> seen;
            synchronized (times) {
                seen = times.stream().filter(t -> t >= coldAt + 500 && t <= until).toList();
            }
            int most = 0;
            for (int i = 0; i < seen.size(); i++) {
                int count = 0;
                for (int j = i; j < seen.size() && seen.get(j) < seen.get(i) + 1_000; j++) count++;
                if (count > most) {
                    most = count;
                    if (count > LIMIT) Rig.note("a replica got " + count + " requests in the second from " + (seen.get(i) - coldAt) + " ms after it became cold");
                }
            }
            Rig.note("most requests in a second at a cold replica: " + most + ", allowed " + LIMIT);
            worst = Math.max(worst, most);
        }
        Rig.note(served + " requests served of " + number);
        return worst > LIMIT;
    }

    private static void cold(List<Replica> replicas, long coldAt) {
        long left = coldAt + 10_000 - System.currentTimeMillis();
        for (Replica replica : replicas) {
            replica.extra = Json.map("coldRemainingMs", Math.max(0, left), "born", coldAt);
            replica.report("ready");
        }
    }
}
