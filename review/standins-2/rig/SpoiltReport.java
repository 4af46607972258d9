package rig;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Some model replicas spoil one in fifty of their reports. Daemons that end are started again, as the platform does. */
public final class SpoiltReport implements Rig.Case {
    private static final int DAEMONS = 3;
    private static final int TIMEOUT = 800;
    private static final long SECONDS = 90;

    @Override
    public boolean run(boolean trouble, Path temporary) throws Exception {
        Store store = new Store();
        new Replica(store, "app", "i-app-0", 0, (replica, head, in, out, socket) -> Replica.answer(head, out, "done"));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 4; i++) engines.add(new Engine(store, "i-llm-" + i));
        store.put("versions", Engine.MODEL, Json.map("model", Engine.MODEL, "version", 1));
        Map<String, Object> flow = Rig.route("flow", "/flow/", "streaming", "llm", 15_000, 2, true);
        flow.put("sticky", true);
        store.put("config", "main", Rig.state(1, List.of(flow, Rig.route("get", "/get/", "idempotent", "app", TIMEOUT, 2, false)),
            List.of(Rig.service("app"), Engine.service())));
        List<String> controls = new ArrayList<>();
        for (int i = 0; i < DAEMONS; i++) controls.add(Daemon.freeAddress());
        Daemon[] daemons = new Daemon[DAEMONS];
        for (int i = 0; i < DAEMONS; i++) daemons[i] = new Daemon("edge-" + i, store, temporary, controls, controls.get(i));
        for (Daemon daemon : daemons) daemon.awaitReady(30_000);
        Thread.sleep(5_000);
        if (trouble) {
            Rig.note("two of four model replicas begin to spoil one in fifty of their reports");
            engines.get(0).spoilsOneIn = 50;
            engines.get(1).spoilsOneIn = 50;
        }
        int[] ends = new int[DAEMONS];
        int served = 0;
        int calls = 0;
        long until = System.currentTimeMillis() + SECONDS * 1_000;
        while (System.currentTimeMillis() < until) {
            for (int i = 0; i < DAEMONS; i++) {
                if (daemons[i].process.isAlive()) continue;
                ends[i]++;
                Rig.note(daemons[i].name + " has ended by itself with " + daemons[i].process.exitValue() + ", for the " + ends[i] + ". time");
                daemons[i] = new Daemon(daemons[i], store, temporary);
            }
            String id = "get-" + calls;
            Daemon daemon = daemons[calls++ % DAEMONS];
            String seen = Client.call(daemon.front, "GET", "/get/a", id, TIMEOUT);
            Rig.note(id + " sent to " + daemon.name + ": " + seen);
            if (seen.startsWith("200")) served++;
            Thread.sleep(250);
        }
        int often = 0;
        for (int i = 0; i < DAEMONS; i++) {
            Rig.note(daemons[i].name + " ended by itself " + ends[i] + " times");
            if (ends[i] >= 3) often++;
            for (String line : Files.readAllLines(daemons[i].log)) {
                if (line.contains("OutOfMemory")) Rig.note(daemons[i].name + ": " + line);
            }
        }
        Rig.note(served + " of " + calls + " requests to a sound replica were served");
        return often >= 2;
    }
}
