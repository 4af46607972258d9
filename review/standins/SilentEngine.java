import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * In each round a sound replica falls silent for a moment in the middle of streams. In most rounds new weights are named
 * meanwhile, beside a desired state with one more idle route, and the other replicas load them; the other rounds are
 * without planned work. With TROUBLE=0 the desired states are written, but no weights are named.
 */
final class SilentEngine {
    private static final int ROUNDS = 8;
    private static final int CONSUMERS = 18;
    private static final int SILENT_MILLIS = 1_300;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int EVENTS = 10;
    private static final int REST_MILLIS = 4_000;
    private static final int MORE_THAN = 3;
    private static final int TIMES_AS_OFTEN = 3;

    private final Standins standins;
    private final State state = new State();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final Streams planned = new Streams();
    private final Streams calm = new Streams();

    /** The streams of the rounds with planned work, or of those without, and how many of them were cut. */
    private static final class Streams {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger cut = new AtomicInteger();
    }

    private SilentEngine(Standins standins) {
        this.standins = standins;
    }

    public static void main(String[] arguments) {
        Standins.run(arguments[0], standins -> new SilentEngine(standins).run());
    }

    private void run() throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (String zone : Standins.ZONES) {
            Engine engine = new Engine(standins, "i-" + zone, 110);
            engines.add(engine);
            standins.register(engine.id, "engines", engine.replica.port(), zone, Engine.SLOTS, System.currentTimeMillis() - 60_000, Map.of(Engine.MODEL, 1));
        }
        Map<String, Object> spec = State.map("slots", 64L, "kvCapacityTokens", 107_868L, "kvTokenBytes", 18_432L, "linkMbps", 88_000.0,
            "models", List.of(State.map("name", Engine.MODEL)));
        standins.store.put("versions", Engine.MODEL, State.map("model", Engine.MODEL, "version", 1L));
        state.service("engines", "coldStartS", 3.0, "coldPerS", 9.4, "engine", spec)
            .route("r-tag", "/tag/", "streaming", "engines", TIMEOUT_MILLIS, 2, "sticky", true, "resumable", true, "sloMs", 600L);
        standins.store.put("config", "main", state.version(7));
        standins.startDaemons(1);
        int version = 1;
        for (int round = 1; round <= ROUNDS; round++) {
            boolean work = round % 3 != 0;
            if (work) version++;
            round(round, engines, work ? version : null);
            Thread.sleep(REST_MILLIS);
        }
        int cut = planned.cut.get() + calm.cut.get();
        String outcome = "of " + ROUNDS * CONSUMERS + " streams on kept channels " + whole + " were answered in full, " + cut
            + " were passed on to a sound replica and their channel closed without a complete answer (" + planned.cut + " of " + planned.sent
            + " beside a desired state, " + calm.cut + " of " + calm.sent + " at other times), " + other + " were refused or failed";
        if (!Standins.trouble() && cut == 0 && other.get() > 0) standins.cannotRun(outcome);
        boolean oftener = planned.cut.get() * calm.sent.get() > TIMES_AS_OFTEN * calm.cut.get() * planned.sent.get();
        standins.finish(cut > MORE_THAN && oftener, outcome);
    }

    /** Plays one round; names [version] and writes a desired state unless it is null. */
    private void round(int round, List<Engine> engines, Integer version) throws Exception {
        CountDownLatch begun = new CountDownLatch(CONSUMERS);
        List<Thread> threads = new ArrayList<>();
        Streams streams = version == null ? calm : planned;
        for (int i = 0; i < CONSUMERS; i++) {
            String id = "tag-" + round + "-" + i;
            threads.add(Standins.thread(id, () -> consume(id, begun, streams)));
        }
        begun.await();
        Thread.sleep(350);
        engines.stream().max(Comparator.comparingInt(e -> e.running.get())).orElseThrow().fallSilent(SILENT_MILLIS);
        Thread.sleep(600);
        if (version != null) {
            state.route("r-idle-" + round, "/idle" + round + "/", "streaming", "engines", TIMEOUT_MILLIS, 2, "sticky", true, "sloMs", 600L);
            standins.store.put("config", "main", state.version(7 + 3L * version));
            standins.log("operator: desired state " + (7 + 3 * version) + ", with one more idle route, is confirmed");
            if (Standins.trouble()) {
                standins.store.put("versions", Engine.MODEL, State.map("model", Engine.MODEL, "version", (long) version));
                standins.log("operator: version " + version + " of the weights is named");
            }
        }
        for (Thread thread : threads) thread.join();
    }

    /** Sends one short and one longer request on one channel. */
    private void consume(String id, CountDownLatch begun, Streams streams) throws Exception {
        boolean sent = false;
        try (Client client = new Client(standins.daemons.get(0).front, TIMEOUT_MILLIS + 2_000)) {
            client.call(head(id + "-first", 1), new byte[0]);
            client.send(head(id, EVENTS).getBytes(StandardCharsets.ISO_8859_1));
            sent = true;
            streams.sent.incrementAndGet();
            begun.countDown();
            Client.Answer answer = client.read();
            boolean complete = answer.status() == 200 && new String(answer.body(), StandardCharsets.ISO_8859_1).contains(" end");
            standins.log("consumer: " + id + " answered " + answer.status() + (complete ? ", all events" : " " + new String(answer.body(), StandardCharsets.ISO_8859_1)));
            (complete ? whole : other).incrementAndGet();
        } catch (IOException failure) {
            if (!sent) begun.countDown();
            boolean partial = sent && Client.CUT.equals(failure.getMessage());
            standins.log("consumer: " + id + (partial ? " got a part of its stream: " : " had no answer: ") + failure.getMessage());
            (partial ? streams.cut : other).incrementAndGet();
        }
    }

    private static String head(String id, int events) {
        return Client.head("POST", "/tag/1", id, TIMEOUT_MILLIS, "Content-Length: 0\r\nX-Parsleymoor-Model: " + Engine.MODEL
            + "\r\nX-Parsleymoor-Token-Usage: 600," + events + "\r\nX-Parsleymoor-Prompt-Prefix: aa01:340,bb02:160," + Integer.toHexString(id.hashCode()) + ":100\r\n");
    }
}
