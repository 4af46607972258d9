import java.io.*;
import java.net.*;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/** What the cases share: the record, free ports, the daemons, and what the operator writes. */
final class Kit {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    static final String HOST = "callers.example";
    static final String KEY = "key-of-the-first-tenant";
    static final String TENANT = "first-tenant";

    final Path folder;
    final Path temporary;
    final List<Daemon> daemons = new ArrayList<>();
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();

    Kit(String folder) throws IOException {
        this.folder = Path.of(folder);
        temporary = Files.createTempDirectory("parsleymoor-review");
        record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt")), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endDaemons));
        note("trouble: " + (TROUBLE ? "yes" : "no"));
    }

    long millis() { return (System.nanoTime() - startNanos) / 1_000_000; }

    synchronized void note(String text) { record.println(String.format("%8.3f %s", millis() / 1000.0, text)); }

    void say(String text) {
        note(text);
        System.out.println(String.format("%8.3f %s", millis() / 1000.0, text));
    }

    private static final Random PORTS = new Random();
    private static final Set<Integer> TAKEN = new HashSet<>();

    /** Returns a free port below those that the system gives to outgoing connections. */
    static int freePort() throws IOException {
        while (true) {
            int port = 12_000 + PORTS.nextInt(18_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process has it.
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    void endDaemons() {
        for (Daemon daemon : daemons) daemon.kill();
        try (java.util.stream.Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is gone.
        }
    }

    /** Runs [test] and exits: 1 if it returns true, that is, if the rule was broken, 0 if not, 2 if it could not run. */
    static void run(String folder, Case test) {
        int code = 2;
        try {
            Kit kit = new Kit(folder);
            try {
                boolean broken = test.run(kit);
                kit.say(broken ? "RULE BROKEN" : "the rule held");
                code = broken ? 1 : 0;
            } catch (Throwable e) {
                kit.say("could not run: " + e);
                e.printStackTrace();
            }
            kit.endDaemons();
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    interface Case { boolean run(Kit kit) throws Exception; }

    /** A process of the role "entry", with the command of the deploy file. */
    final class Daemon {
        final String name;
        final String zone;
        final String callers;
        final String ready;
        final String peers;
        final String metrics;
        final Path settings;
        Process process;

        Daemon(String name, String zone) throws IOException {
            this.name = name;
            this.zone = zone;
            callers = "127.0.0.1:" + freePort();
            ready = "127.0.0.1:" + freePort();
            peers = "127.0.0.1:" + freePort();
            metrics = "127.0.0.1:" + freePort();
            settings = temporary.resolve(name + ".toml");
            daemons.add(this);
        }

        void writeSettings(String store, List<String> seeds) throws IOException {
            StringBuilder list = new StringBuilder();
            for (String seed : seeds) list.append(list.length() > 0 ? "," : "").append('"').append(seed).append('"');
            Files.writeString(settings, String.join("\n",
                "instance = \"" + name + "\"", "zone = \"" + zone + "\"", "region = \"zemplen\"",
                "seeds = [" + list + "]", "[zones]", "\"tokaj-a\" = \"zemplen\"", "\"sarospatak-b\" = \"zemplen\"",
                "[listen]", "callers = \"" + callers + "\"", "readiness = \"" + ready + "\"",
                "peers = \"" + peers + "\"", "metrics = \"" + metrics + "\"",
                "[objectStore]", "address = \"" + store + "\"",
                "[times]", "graceSeconds = 8", "leaseMillis = 3000", "weightsMillis = 10000", "applyMillis = 2500",
                "heartbeatMillis = 1200", "stableMillis = 4000", "skewMillis = 6000",
                "[retries]", "share = 0.2", "extra = 58", "windowSeconds = 10",
                "[cold]", "overage = 1.5", "slack = 5", "[spillover]", "zoneMillis = 20", "regionMillis = 60",
                "[machine]", "share = 0.75", "cores = 1", "descriptors = 4100", ""));
        }

        void start() throws IOException {
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
            List<String> command = new ArrayList<>(List.of(run.substring(7, run.lastIndexOf('"')).split(" ")));
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(temporary.resolve(name + ".out").toFile()));
            builder.environment().keySet()
                .retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("PARSLEYMOOR_NODE_FILE", settings.toString());
            process = builder.start();
            note(name + " started, process " + process.pid());
        }

        boolean isReady() {
            try (Http.Client client = new Http.Client(ready)) {
                return client.call("GET", "/ready", List.of("Host: " + ready), new byte[0], 1000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady(long timeoutMillis) {
            long until = millis() + timeoutMillis;
            while (!isReady()) {
                if (millis() > until) throw new IllegalStateException(name + " did not become ready");
                sleep(50);
            }
            note(name + " is ready");
        }

        void signal(String signal) throws Exception {
            note(name + " gets " + signal);
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        String residentKilobytes() {
            try (java.util.stream.Stream<String> lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
                return lines.filter(line -> line.startsWith("VmRSS")).findFirst().orElse("").replaceAll("[^0-9]", "");
            } catch (IOException | UncheckedIOException e) {
                return "unknown";
            }
        }

        String log() throws IOException { return Files.readString(temporary.resolve(name + ".out")); }
    }

    static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMillis,
        int attempts) {
        return Json.object("name", name, "host", HOST, "pathPrefix", prefix, "kind", kind, "timeoutMs", timeoutMillis,
            "sloMs", 250, "priority", 2, "service", service, "attempts", attempts, "public", false, "sticky", false,
            "allowedRegions", List.of());
    }

    static Map<String, Object> service(String name, double coldStartS, double coldPerS) {
        return Json.object("name", name, "healthPath", "/health", "maxConns", 110, "protocol", "h1", "tls", false,
            "coldStartS", coldStartS, "coldPerS", coldPerS);
    }

    static Map<String, Object> configuration(long version, List<Object> routes, List<Object> services) {
        return Json.object("version", version, "routes", routes, "services", services,
            "limits", Json.object("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000,
                "idleTimeoutMs", 15000),
            "tenants", List.of(Json.object("name", TENANT, "apiKeys", List.of(KEY), "priority", 1,
                "allowedRegions", List.of())));
    }

    static Map<String, Object> entry(String service, String address, String zone, String state, long coldMillis,
        long born, long seq) {
        return Json.object("service", service, "address", address, "zone", zone, "version", "v1", "slots", 6,
            "state", state, "coldRemainingMs", coldMillis, "seq", seq, "born", born);
    }

    static List<String> fields(String id, int deadlineMillis) {
        return List.of("Host: " + HOST, "X-Parsleymoor-Attempt-Id: " + id, "X-Parsleymoor-Deadline-Ms: " + deadlineMillis,
            "Authorization: Token " + KEY);
    }

    private static final java.util.concurrent.atomic.AtomicLong IDS = new java.util.concurrent.atomic.AtomicLong(4096);

    static String newId() { return String.format("%016x", IDS.incrementAndGet()); }
}
