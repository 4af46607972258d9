package rig;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Runs one case of the review: `rig.Rig NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
public final class Rig {
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    /** One case; returns whether the rule was broken. */
    interface Case {
        boolean run(boolean trouble, Path temporary) throws Exception;
    }

    private static final List<Process> PROCESSES = new ArrayList<>();
    private static final long START = System.currentTimeMillis();
    private static PrintStream record;
    private static Path temporary;
    private static boolean ended;

    private Rig() {
    }

    public static void main(String[] words) throws Exception {
        record = new PrintStream(Files.newOutputStream(Path.of(words[1], "record.txt")), true);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        temporary = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::cleanUp));
        int status = 2;
        background("limit of time", () -> {
            Thread.sleep(115_000);
            note("the case took too long");
            end(2);
        });
        try {
            note("case " + words[0] + (trouble ? " with" : " without") + " the disruption");
            Case which = (Case) Class.forName("rig." + words[0]).getDeclaredConstructor().newInstance();
            status = which.run(trouble, temporary) ? 1 : 0;
        } catch (Throwable e) {
            note("the case could not run: " + e);
            e.printStackTrace(record);
        }
        note(status == 1 ? "the rule was broken" : status == 0 ? "the rule held" : "no result");
        end(status);
    }

    private static void end(int status) {
        synchronized (PROCESSES) {
            ended = true;
        }
        record.flush();
        System.exit(status);
    }

    /** Ends the processes that the case started, and removes its temporary folder. */
    private static void cleanUp() {
        synchronized (PROCESSES) {
            PROCESSES.forEach(Process::destroyForcibly);
            for (Process process : PROCESSES) {
                try {
                    process.waitFor();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("the temporary folder stays: " + e.getMessage());
        }
    }

    static void onExit(Process process) {
        synchronized (PROCESSES) {
            PROCESSES.add(process);
        }
    }

    /** Writes a line to the record. */
    static void note(String line) {
        synchronized (PROCESSES) {
            if (ended) return;
            record.printf("%8.3f s  %s%n", (System.currentTimeMillis() - START) / 1000.0, line);
        }
    }

    static Thread background(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // Broken channels are part of the cases.
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static byte[] join(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    /** A desired state of [routes] and [services], with the limits of the example deployments. */
    static Map<String, Object> state(long version, List<Object> routes, List<Object> services) {
        return Json.map("version", version, "routes", routes, "services", services,
            "limits", Json.map("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000));
    }

    static Map<String, Object> route(String name, String prefix, String kind, String service, int timeoutMillis, int attempts, boolean resumable) {
        return Json.map("name", name, "host", "app.example", "pathPrefix", prefix, "kind", kind, "timeoutMs", timeoutMillis, "sloMs", 250,
            "priority", 0, "service", service, "attempts", attempts, "public", false, "sticky", false, "resumable", resumable,
            "gapTargetMs", 500, "allowedRegions", List.of());
    }

    static Map<String, Object> service(String name) {
        return Json.map("name", name, "maxConns", 110, "healthPath", "/health", "coldStartS", 0, "coldPerS", 0);
    }
}
