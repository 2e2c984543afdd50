import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One requester in four leaves right after it has sent its request, for a few seconds, at one machine of three, which is
 * suspended for a part of that time. From then on all requesters stay and all machines run. The servers are sound and idle, so their requests must be served.
 */
public final class LeftAtOnce {
    private static final int REQUEST_BYTES = 2048;
    private static final int REQUESTERS = 8;
    private static final double LEAVING_S = 5;
    private static final double CALM_S = 20;
    private static final int SUSPENDED_MS = 2_500;

    public static void main(String[] args) {
        Deployment.main(LeftAtOnce::run);
    }

    private static List<String> run(Deployment deployment, boolean trouble) throws Exception {
        AtomicInteger ran = new AtomicInteger();
        for (int i = 1; i <= 4; i++) {
            Server server = new Server("i-" + i, "counter", "zone-a", 0, request -> {
                request.input().readNBytes(request.length());
                ran.incrementAndGet();
                Thread.sleep(78);
                Server.reply(request, "done".getBytes());
                return true;
            });
            deployment.store.put("servers", server.id, server.registration("ready", 3));
        }
        deployment.putConfig(7, List.of("counter"),
            List.of(Deployment.route("/pufi791/", "non_idempotent", "counter", 1, 0.25, 2)));
        List<Deployment.Node> nodes = new ArrayList<>();
        for (int i = 1; i <= 3; i++) nodes.add(deployment.node("edge-a-" + i, "zone-a"));
        for (Deployment.Node node : nodes) node.start();
        for (Deployment.Node node : nodes) node.awaitReady();
        Thread.sleep(5_000);

        if (trouble) suspend(nodes.get(0));
        double leavingUntil = deployment.elapsedS() + LEAVING_S;
        Counts early = new Counts();
        send(deployment, nodes.subList(0, 1), leavingUntil, trouble, early);
        deployment.record("in " + LEAVING_S + " s at " + nodes.get(0).name + ": " + early);
        Thread.sleep(2_000);
        int ranBefore = ran.get();
        double calmUntil = deployment.elapsedS() + CALM_S;
        int served = 0;
        int owed = early.owed.get();
        int servedEarly = early.served.get();
        for (Deployment.Node node : nodes) {
            Counts calm = new Counts();
            send(deployment, List.of(node), deployment.elapsedS() + CALM_S / nodes.size(), false, calm);
            deployment.record("then at " + node.name + ", where nobody leaves: " + calm);
            served += calm.served.get();
            owed += calm.owed.get();
        }
        int all = served + servedEarly;
        deployment.record("the servers ran " + (ran.get() - ranBefore) + " requests in the last " + CALM_S + " s");
        deployment.record(all + " of " + owed + " requests that were owed were served");
        if ((owed - all) * 10 > owed * 6) {
            return List.of("Gate: " + (owed - all) + " of " + owed + " requests were refused or failed, more than 60%; of those "
                + "sent after the last requester had left, " + served + " were served");
        }
        return List.of();
    }

    /** Suspends the machine for a while in which requesters leave. */
    private static void suspend(Deployment.Node node) {
        Deployment.background(() -> {
            try {
                Thread.sleep(1_500);
                node.signal("STOP");
                Thread.sleep(SUSPENDED_MS);
                node.signal("CONT");
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger left = new AtomicInteger();
        final AtomicInteger owed = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();

        @Override
        public String toString() {
            return sent + " requests sent, " + left + " left, " + served + " served, " + refused + " refused with 503";
        }
    }

    private static void send(Deployment deployment, List<Deployment.Node> nodes, double until, boolean leave, Counts counts)
        throws InterruptedException {
        List<Thread> requesters = new ArrayList<>();
        for (int i = 0; i < REQUESTERS; i++) {
            boolean leaves = leave && i % 4 == 0;
            requesters.add(Deployment.background(() -> {
                while (deployment.elapsedS() < until) {
                    try (Client client = new Client(nodes.get(0).front(), 0)) {
                        String id = String.format("%016x", System.nanoTime());
                        client.send("POST", "/pufi791/2f", id, 1_000, new byte[bodyBytes(id)]);
                        if (leaves) client.socket.shutdownOutput();
                        counts.sent.incrementAndGet();
                        if (leaves) {
                            client.socket.close();
                            counts.left.incrementAndGet();
                        } else {
                            counts.owed.incrementAndGet();
                            int status = client.receive(0).status();
                            if (status == 200) counts.served.incrementAndGet();
                            if (status == 503) counts.refused.incrementAndGet();
                        }
                        Thread.sleep(50);
                    } catch (Exception e) {
                        deployment.record("requester: " + e);
                    }
                }
            }));
        }
        for (Thread requester : requesters) requester.join();
    }

    /** Bytes of a body with which the whole request has {@link #REQUEST_BYTES}. */
    private static int bodyBytes(String id) {
        String head = "POST /pufi791/2f HTTP/1.1\r\nHost: " + Client.HOST + "\r\nPoplarwood-Request-Id: " + id
            + "\r\nPoplarwood-Deadline-Ms: 1000\r\nContent-Length: 1234\r\n\r\n";
        return REQUEST_BYTES - head.length();
    }
}
