import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A server answers a long upload before it has read all of it, without a length, and its connection is reset in the
 * middle of the answer. The requester must not get that part as a complete success. Every second connection is reset.
 */
public final class EarlyAnswer {
    private static final int UPLOADS = 8;
    private static final byte[] BODY = new byte[8 * 1024 * 1024];
    private static final byte[] ANSWER = new byte[20_000];

    public static void main(String[] args) {
        Arrays.fill(ANSWER, (byte) 'a');
        Deployment.main(EarlyAnswer::run);
    }

    private static List<String> run(Deployment deployment, boolean trouble) throws Exception {
        List<Server> servers = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            Server server = new Server("i-" + i, "proofroom", "zone-a", 64 * 1024, request -> {
                if (request.length() == 0) {
                    Server.reply(request, ANSWER);
                    return true;
                }
                request.input().readNBytes(64 * 1024);
                request.socket().getOutputStream().write(Server.head(request, 200, "OK", -1));
                request.socket().getOutputStream().write(ANSWER, 0, ANSWER.length / 2);
                Thread.sleep(200);
                // Half of the connections are reset.
                int number = Integer.parseInt(request.id().substring("upload-".length()));
                if (trouble && number % 2 == 1) {
                    deployment.record("server: " + request.id() + " is reset after " + ANSWER.length / 2 + " of "
                        + ANSWER.length + " bytes of its answer");
                    request.socket().setSoLinger(true, 0);
                    return false;
                }
                request.socket().getOutputStream().write(ANSWER, ANSWER.length / 2, ANSWER.length / 2);
                request.socket().shutdownOutput();
                deployment.record("server: " + request.id() + " was answered with " + ANSWER.length + " bytes");
                while (request.input().read(new byte[64 * 1024]) >= 0) {
                    // The rest of the body is read later.
                }
                return false;
            });
            servers.add(server);
            deployment.store.put("servers", server.id, server.registration("ready", 3));
        }
        deployment.putConfig(7, List.of("proofroom"),
            List.of(Deployment.route("/pule252/", "upload", "proofroom", 5, 2, 2)));
        Deployment.Node node = deployment.node("edge-a-1", "zone-a");
        node.start();
        node.awaitReady();

        List<String> broken = new ArrayList<>();
        int whole = 0;
        for (int i = 1; i <= UPLOADS; i++) {
            String id = "upload-" + i;
            try (Client client = new Client(node.front(), 0)) {
                client.send("POST", "/pule252/" + i, id, 5_000, BODY);
                Client.Answer answer = client.receive(0);
                deployment.record("requester: " + id + " got status " + answer.status() + ", "
                    + answer.body().length + " bytes, complete " + answer.complete() + ", signature "
                    + answer.headers().get("poplarwood-upstream-signature"));
                boolean isSuccess = answer.status() / 100 == 2 && answer.complete();
                if (isSuccess && !Arrays.equals(answer.body(), ANSWER)) {
                    broken.add("MIXED: " + id + " got a success with " + answer.body().length
                        + " bytes that isn't the server's whole body of " + ANSWER.length + " bytes");
                } else if (isSuccess) {
                    whole++;
                }
            }
            Thread.sleep(600);
        }
        if (!trouble && whole < UPLOADS) throw new Deployment.CannotRun("only " + whole + " uploads were served");
        return broken;
    }
}
