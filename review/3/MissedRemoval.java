import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server leaves without announcing it: its entry is removed and it goes on serving for some seconds. One machine is
 * suspended around the removal, and another one is started again just after it. Once the suspended machine is in touch
 * again, it must send nothing to the server that left.
 */
public final class MissedRemoval {
    private static final double STABLE_S = 3;
    private static final double DRAIN_S = 2;
    private static final int SERVED_ON_S = 10;
    private static final int REQUESTERS = 12;
    private static final int ROUNDS = 3;

    public static void main(String[] args) {
        Deployment.main(MissedRemoval::run);
    }

    private static List<String> run(Deployment deployment, boolean trouble) throws Exception {
        Map<String, Double> sentAt = new ConcurrentHashMap<>();
        Map<String, Map<String, Double>> reachedAt = new ConcurrentHashMap<>();
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= 3 + ROUNDS; i++) {
            String id = "i-" + i;
            reachedAt.put(id, new ConcurrentHashMap<>());
            Server server = new Server(id, "counter", "zone-a", 0, request -> {
                request.input().readNBytes(request.length());
                reachedAt.get(id).put(request.id(), deployment.elapsedS());
                Thread.sleep(78);
                Server.reply(request, "done".getBytes());
                return true;
            });
            servers.add(server);
            deployment.store.put("servers", server.id, server.registration("ready", 3));
        }
        deployment.putConfig(7, List.of("counter"),
            List.of(Deployment.route("/pufi791/", "non_idempotent", "counter", 1, 0.25, 2)));
        List<Deployment.Node> nodes = new ArrayList<>();
        for (String zone : List.of("a", "b")) {
            for (int i = 1; i <= 2; i++) nodes.add(deployment.node("edge-" + zone + "-" + i, "zone-" + zone));
        }
        for (Deployment.Node node : nodes) node.start();
        for (Deployment.Node node : nodes) node.awaitReady();
        Thread.sleep(6_000);

        List<String> broken = new ArrayList<>();
        for (int round = 0; round < ROUNDS && broken.isEmpty(); round++) {
            Server leaving = servers.get(round);
            String late = round(deployment, trouble, nodes.get(0), nodes.get(3), leaving, reachedAt.get(leaving.id), sentAt);
            if (late != null) broken.add(late);
            Thread.sleep(2_000);
        }
        return broken;
    }

    /** One server leaves; returns what broke the rule, or null. */
    private static String round(Deployment deployment, boolean trouble, Deployment.Node suspended,
        Deployment.Node restarted, Server leaving, Map<String, Double> reachedAt, Map<String, Double> sentAt)
        throws Exception {
        if (trouble) suspended.signal("STOP");
        Thread.sleep(1_800);
        if (trouble) restarted.signal("KILL");
        Thread.sleep(200);
        deployment.store.remove("servers", leaving.id);
        double removedAt = deployment.elapsedS();
        deployment.record("server " + leaving.id + " leaves: its entry is removed, it serves on for " + SERVED_ON_S + " s");
        Thread.sleep(300);
        if (trouble) {
            restarted.start();
            restarted.awaitReady();
        }
        Thread.sleep(1_000);
        if (trouble) suspended.signal("CONT");
        double touchedAt = deployment.elapsedS() + STABLE_S;

        double endsAt = removedAt + SERVED_ON_S;
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger number = new AtomicInteger();
        List<Thread> requesters = new ArrayList<>();
        for (int i = 0; i < REQUESTERS; i++) {
            requesters.add(Deployment.background(() -> {
                while (deployment.elapsedS() < endsAt + 0.5) {
                    String id = "order-" + leaving.id + "-" + number.getAndIncrement();
                    int status = send(deployment, suspended, id, sentAt);
                    if (status != 200 && status != 503 && sentAt.get(id) > touchedAt) lost.incrementAndGet();
                    if (status == 503) pause(50);
                }
            }));
        }
        while (deployment.elapsedS() < endsAt) Thread.sleep(5);
        leaving.close();
        deployment.record("server " + leaving.id + " ended");
        for (Thread requester : requesters) requester.join();
        int late = 0;
        for (Map.Entry<String, Double> arrival : new TreeMap<>(reachedAt).entrySet()) {
            double sent = sentAt.get(arrival.getKey());
            if (arrival.getValue() <= removedAt + DRAIN_S || sent <= removedAt + DRAIN_S || sent < touchedAt) continue;
            if (late++ >= 10) continue;
            deployment.record(String.format("%s was sent at %.3f and reached %s at %.3f, %.1f s after its removal",
                arrival.getKey(), sent, leaving.id, arrival.getValue(), arrival.getValue() - removedAt));
        }
        deployment.record(number + " orders were sent to " + suspended.name + " after the removal; " + late
            + " of those sent once it was in touch reached " + leaving.id + ", and " + lost
            + " ended with neither a success nor a refusal");
        if (late == 0) return null;
        return "DRAIN: " + late + " requests reached " + leaving.id + " later than drain-s after its removal was "
            + "confirmed, from a machine in touch";
    }

    private static int send(Deployment deployment, Deployment.Node node, String id, Map<String, Double> sentAt) {
        sentAt.put(id, deployment.elapsedS());
        try (Client client = new Client(node.front(), 0)) {
            client.send("POST", "/pufi791/2f", id, 1_000, "order".getBytes());
            int status = client.receive(0).status();
            if (status != 200 && status != 503) deployment.record("requester: " + id + " got status " + status);
            return status;
        } catch (IOException e) {
            deployment.record("requester: " + id + " got " + e);
            return 0;
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
