import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two in a hundred answers of one replica of three have no length, begin before the long body of the request has been
 * read, and are broken off in the middle by a reset. With TROUBLE=0 these answers are finished and end with their
 * channel.
 */
final class EarlyAnswer {
    private static final int REQUESTS = 250;
    private static final int BODY_BYTES = 4_190_000;
    private static final int ANSWER_BYTES = 8_000;
    private static final int ONE_IN = 50;

    public static void main(String[] arguments) {
        Standins.run(arguments[0], EarlyAnswer::run);
    }

    private static void run(Standins standins) throws Exception {
        byte[] answer = new byte[ANSWER_BYTES];
        Arrays.fill(answer, (byte) 'a');
        AtomicInteger answers = new AtomicInteger();
        for (String zone : Standins.ZONES) {
            // The consumer's daemon is in the first zone and prefers the replica there.
            boolean faulty = zone.equals(Standins.ZONES[0]);
            Replica replica = new Replica("i-" + zone, 16_384, (head, in, out, socket) -> {
                if (faulty && answers.incrementAndGet() % ONE_IN == 0) return spoil(standins, head, in, out, socket, answer);
                Http.readBody(in, head, false);
                Replica.answer(out, 200, head.field("X-Parsleymoor-Attempt-Id"), "Content-Type: text/plain\r\n", answer);
                return true;
            });
            standins.register("i-" + zone, "application", replica.port(), zone, 6, System.currentTimeMillis() - 60_000, Map.of());
        }
        standins.store.put("config", "main", new State().service("application")
            .route("r-read", "/read/", "idempotent", "application", 3_000, 2).version(7));
        standins.startDaemons(1);
        int whole = 0;
        int partial = 0;
        int failed = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "read-" + i;
            try (Client client = new Client(standins.daemons.get(0).front, 5_000)) {
                String more = "Content-Type: text/plain\r\nContent-Length: " + BODY_BYTES + "\r\n";
                Client.Answer got = client.call(Client.head("POST", "/read/" + i, id, 3_000, more), new byte[BODY_BYTES]);
                boolean sealed = got.head().field("X-Parsleymoor-Response-Seal") != null;
                standins.log("consumer: " + id + " answered " + got.status() + (sealed ? " with a receipt" : "") + ", Content-Length "
                    + got.head().field("content-length") + ", body of " + got.body().length + " bytes");
                if (got.status() != 200) failed++;
                else if (Arrays.equals(got.body(), answer)) whole++;
                else partial++;
            } catch (IOException failure) {
                standins.log("consumer: " + id + " had no complete answer: " + failure.getMessage());
                failed++;
            }
        }
        String outcome = "of " + REQUESTS + " requests, " + whole + " got the whole body, " + partial
            + " got a success that looks complete with a part of the replica's body, " + failed + " failed";
        if (!Standins.trouble() && partial == 0 && whole < REQUESTS) standins.cannotRun(outcome);
        standins.finish(partial > 0, outcome);
    }

    private static boolean spoil(Standins standins, Http.Head head, InputStream in, OutputStream out, Socket socket, byte[] answer)
        throws Exception {
        String id = head.field("X-Parsleymoor-Attempt-Id");
        String start = Replica.answerHead(200, id, "Content-Type: text/plain\r\nConnection: close\r\n");
        out.write(start.getBytes(StandardCharsets.ISO_8859_1));
        out.write(answer, 0, answer.length / 2);
        out.flush();
        standins.log("replica: begins its answer of " + answer.length + " bytes to " + id + " before it has read the body");
        Thread.sleep(200);
        if (Standins.trouble()) {
            standins.log("replica: resets the channel of " + id + " after " + answer.length / 2 + " bytes of the answer");
            socket.setSoLinger(true, 0);
            return false;
        }
        out.write(answer, answer.length / 2, answer.length - answer.length / 2);
        out.flush();
        Http.readBody(in, head, false);
        standins.log("replica: finished the answer to " + id + ", read its body and closes the channel");
        return false;
    }
}
