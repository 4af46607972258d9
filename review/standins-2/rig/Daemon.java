package rig;

import java.io.File;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry daemon, started with the command and the settings template of the deploy file. */
final class Daemon {
    final String name;
    final String front;
    final String ready;
    final String control;
    final Path log;
    final Process process;

    private final List<String> seeds;
    private final String metrics;

    Daemon(String name, Store store, Path folder, List<String> seeds, String control) throws Exception {
        this(name, store, folder, seeds, control, freeAddress(), freeAddress(), freeAddress());
    }

    /** Starts [former], which has ended, again with its settings. */
    Daemon(Daemon former, Store store, Path folder) throws Exception {
        this(former.name, store, folder, former.seeds, former.control, former.front, former.ready, former.metrics);
    }

    private Daemon(String name, Store store, Path folder, List<String> seeds, String control, String front, String ready, String metrics)
        throws Exception {
        this.name = name;
        this.seeds = seeds;
        this.control = control;
        this.front = front;
        this.ready = ready;
        this.metrics = metrics;
        Map<String, Object> fields = Json.map(
            "node", name, "zone", "zone-a", "region", "region-a", "ip", "127.0.0.1", "seeds", seeds,
            "zones", Json.map("zone-a", "region-a"),
            "listen", Json.map("front", front, "readyAddr", ready, "control", control),
            "portRange", List.of(Long.valueOf(metrics.split(":")[1])), "heartbeatMs", 1200,
            "provider", Json.map("address", store.address()),
            "limits", Json.map("cpuShare", 0.75, "cores", 1, "maxFds", 4100),
            "bounds", Json.map("graceS", 8, "leaseMs", 3000, "versionMs", 10000, "configApplyMs", 2500, "contactMs", 4000, "maxSkewMs", 6000,
                "retryBudgetRatio", 0.2, "budgetExtra", 56, "budgetWindowS", 10, "coldOverage", 1.5, "coldSlack", 5));
        Path settings = folder.resolve(name + ".toml");
        Files.writeString(settings, render(Files.readString(Path.of("deploy/settings.toml")), fields, fields, null));
        log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(command());
        Map<String, String> own = builder.environment();
        own.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        own.put("PARSLEYMOOR_NODE_FILE", settings.toString());
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).redirectInput(new File("/dev/null")).start();
        Rig.onExit(process);
    }

    static String freeAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    /** Waits until the daemon says that it is ready. */
    void awaitReady(long millis) throws Exception {
        long until = System.currentTimeMillis() + millis;
        while (!probe(1000).startsWith("200")) {
            if (System.currentTimeMillis() > until || !process.isAlive()) throw new Rig.CannotRun(name + " did not get ready");
            Thread.sleep(100);
        }
    }

    /** Asks for readiness as the platform does. */
    String probe(int millis) {
        return Client.call(ready, "GET", "/ready", "probe", millis);
    }

    private static List<String> command() throws Exception {
        Matcher run = Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE).matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) throw new Rig.CannotRun("deploy/system.toml names no command");
        return List.of(run.group(1).split(" "));
    }

    /** Fills in a template as DEPLOY.md says. */
    static String render(String template, Object entry, Map<String, Object> all, Object key) {
        StringBuilder out = new StringBuilder();
        int at = 0;
        while (true) {
            int open = template.indexOf("{{", at);
            if (open < 0) return out.append(template.substring(at)).toString();
            out.append(template, at, open);
            int end = template.indexOf("}}", open);
            String word = template.substring(open + 2, end);
            at = end + 2;
            if (!word.startsWith("#")) {
                out.append(text(word, entry, all, key));
                continue;
            }
            String close = "{{/" + word.substring(1) + "}}";
            int closeAt = template.indexOf(close, at);
            String inner = template.substring(at, closeAt);
            at = closeAt + close.length();
            Object value = lookup(word.substring(1), entry, all);
            List<Object[]> rows = new ArrayList<>();
            if (value instanceof List<?> list) for (Object item : list) rows.add(new Object[] {rows.size(), item});
            else if (value instanceof Map<?, ?> map) map.forEach((k, v) -> rows.add(new Object[] {k, v}));
            else if (value != null && !Boolean.FALSE.equals(value)) rows.add(new Object[] {null, entry});
            for (int i = 0; i < rows.size(); i++) {
                out.append(render(inner.replace("{{,}}", i < rows.size() - 1 ? "," : ""), rows.get(i)[1], all, rows.get(i)[0]));
            }
        }
    }

    private static String text(String word, Object entry, Map<String, Object> all, Object key) {
        if (word.equals(".")) return String.valueOf(entry);
        if (word.equals("@")) return String.valueOf(key);
        Object value = lookup(word, entry, all);
        return value == null ? "" : String.valueOf(value);
    }

    private static Object lookup(String path, Object entry, Map<String, Object> all) {
        Object value = entry instanceof Map<?, ?> map && map.containsKey(path.split("\\.")[0]) ? entry : all;
        for (String part : path.split("\\.")) {
            if (value instanceof Map<?, ?> map) value = map.get(part);
            else if (value instanceof List<?> list) value = list.get(Integer.parseInt(part));
            else return null;
        }
        return value;
    }
}
