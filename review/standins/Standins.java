import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What all cases share: the record, the daemons, the desired state and the replicas' entries. */
final class Standins {
    static final String HOST = "callers.example";
    static final String KEY = "review-key-1";
    static final String[] ZONES = {"zone-a", "zone-b", "zone-c"};

    interface Body {
        void run() throws Exception;
    }

    final Path folder;
    final Path root;
    final Path temporary;
    final Store store = new Store();
    final List<Daemon> daemons = new ArrayList<>();
    private final Map<String, Map<String, Object>> entries = new LinkedHashMap<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();

    Standins(String caseFolder) throws IOException {
        folder = Path.of(caseFolder).toAbsolutePath();
        root = folder.getParent().getParent();
        temporary = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::clean));
        thread("heartbeats", () -> {
            for (long seq = 1; ; seq++) {
                Thread.sleep(1_200);
                beat(seq);
            }
        });
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static Thread thread(String name, Body body) {
        Thread thread = new Thread(() -> {
            try {
                body.run();
            } catch (Exception ended) {
                // The connection or the case has ended.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line to record.txt. */
    void log(String line) {
        synchronized (record) {
            record.printf("%7d ms  %s%n", millis(), line);
            record.flush();
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** One entry daemon, started with the command of the deploy file. */
    final class Daemon {
        final String name;
        final int front = freePort();
        final int ready = freePort();
        final int control;
        final int metrics = freePort();
        final Path log;
        Process process;

        Daemon(String name, int control) throws IOException {
            this.name = name;
            this.control = control;
            log = temporary.resolve(name + ".log");
        }

        void start(String zone, List<Integer> seeds) throws IOException {
            StringBuilder zones = new StringBuilder();
            for (String each : ZONES) zones.append('"').append(each).append("\" = \"").append(region(each)).append("\"\n");
            List<String> seedTexts = seeds.stream().map(p -> "\"127.0.0.1:" + p + "\"").toList();
            String settings = """
                instance = "%s"
                zone = "%s"
                region = "%s"
                seeds = [%s]

                [zones]
                %s
                [listen]
                callers = "127.0.0.1:%d"
                readiness = "127.0.0.1:%d"
                peers = "127.0.0.1:%d"
                metrics = "127.0.0.1:%d"

                [objectStore]
                address = "127.0.0.1:%d"

                [times]
                graceSeconds = 8
                leaseMillis = 3000
                weightsMillis = 10000
                applyMillis = 2500
                heartbeatMillis = 1200
                stableMillis = 4000
                skewMillis = 6000

                [retries]
                share = 0.2
                extra = 58
                windowSeconds = 10

                [cold]
                overage = 1.5
                slack = 5

                [machine]
                share = 0.75
                cores = 1
                """.formatted(name, zone, region(zone), String.join(", ", seedTexts), zones, front, ready, control,
                metrics, store.port());
            Path file = temporary.resolve(name + ".toml");
            Files.writeString(file, settings);
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            builder.environment().put("PARSLEYMOOR_NODE_FILE", file.toString());
            builder.environment().remove("JAVA_TOOL_OPTIONS");
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            Standins.this.log("started " + name + " (process " + process.pid() + ") in " + zone);
        }

        void signal(String signal) throws Exception {
            Standins.this.log("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        boolean isReady() {
            try {
                Client.Answer answer = Client.plain(ready, "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1_000);
                return answer.status() == 200;
            } catch (IOException notYet) {
                return false;
            }
        }
    }

    static String region(String zone) {
        return zone.equals("zone-c") ? "region-2" : "region-1";
    }

    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no line run");
    }

    /** Starts [count] daemons and waits until all are ready; exits with 2 if they do not become ready. */
    void startDaemons(int count) throws Exception {
        List<Integer> controls = new ArrayList<>();
        for (int i = 0; i < count; i++) controls.add(freePort());
        for (int i = 0; i < count; i++) {
            Daemon daemon = new Daemon("edge-" + ZONES[i % ZONES.length] + "-" + (1 + i / ZONES.length), controls.get(i));
            daemons.add(daemon);
            daemon.start(ZONES[i % ZONES.length], controls.subList(0, Math.min(3, count)));
        }
        long until = millis() + 20_000;
        while (!daemons.stream().allMatch(Daemon::isReady)) {
            if (millis() > until) cannotRun("the daemons did not become ready within 20 s");
            Thread.sleep(200);
        }
        log("all daemons are ready");
        // All machines are in touch contactMs (4 s) after their start.
        Thread.sleep(4_500);
    }

    void cannotRun(String reason) {
        end(2, "the case could not run: " + reason);
    }

    /** Ends all processes, reports the outcome and exits with 1 if the rule was broken, with 0 if it held. */
    void finish(boolean broken, String outcome) {
        end(broken ? 1 : 0, (broken ? "BROKEN: " : "held: ") + outcome);
    }

    private void end(int status, String outcome) {
        log(outcome);
        System.out.println(outcome);
        clean();
        Runtime.getRuntime().halt(status);
    }

    interface Case {
        void run(Standins standins) throws Exception;
    }

    /** Runs a case in [caseFolder]; one that ends with an exception could not run. */
    static void run(String caseFolder, Case body) {
        Standins standins = null;
        try {
            standins = new Standins(caseFolder);
            body.run(standins);
        } catch (Exception failure) {
            failure.printStackTrace();
            if (standins != null) standins.cannotRun(failure.toString());
        }
        System.exit(2);
    }

    /** Ends the daemons and removes the temporary folder. */
    private synchronized void clean() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) daemon.process.destroyForcibly();
        }
        try {
            for (Daemon daemon : daemons) {
                if (daemon.process != null) daemon.process.waitFor(5, TimeUnit.SECONDS);
            }
            if (!Files.exists(temporary)) return;
            try (var files = Files.walk(temporary)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        } catch (IOException | InterruptedException failure) {
            System.err.println("could not clean up: " + failure);
        }
    }

    /** Registers a replica, or replaces its entry; its heartbeats follow. */
    synchronized void register(String id, String service, int port, String zone, int slots, long born, Map<String, Integer> models) {
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", "127.0.0.1:" + port);
        entry.put("zone", zone);
        entry.put("version", "v1");
        entry.put("slots", (double) slots);
        entry.put("state", "ready");
        entry.put("coldRemainingMs", 0.0);
        if (!models.isEmpty()) {
            entry.put("stage", "both");
            entry.put("models", modelList(models));
        }
        entry.put("seq", 1.0);
        entry.put("born", (double) born);
        entries.put(id, entry);
        store.put("servers", id, new LinkedHashMap<>(entry));
        log("replica " + id + " of " + service + " registered at 127.0.0.1:" + port + " in " + zone);
    }

    /** Replaces the models in the entry of a replica, as the replica reports them. */
    synchronized void reportModels(String id, Map<String, Integer> models) {
        Map<String, Object> entry = entries.get(id);
        entry.put("models", modelList(models));
        store.put("servers", id, new LinkedHashMap<>(entry));
    }

    private static List<Object> modelList(Map<String, Integer> models) {
        List<Object> list = new ArrayList<>();
        models.forEach((model, version) -> list.add(State.map("name", model, "version", (double) version, "adapters", List.of())));
        return list;
    }

    private synchronized void beat(long seq) {
        entries.forEach((id, entry) -> {
            entry.put("seq", (double) seq);
            store.put("servers", id, new LinkedHashMap<>(entry));
        });
    }
}
