import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for a server (backend) on loopback. It answers health checks, rejects requests for another instance with
 * 421, and hands all others to its {@link Work}.
 */
final class Server implements AutoCloseable {
    /** One request whose head was read; the body is still on the connection. */
    record Request(String method, String target, Map<String, String> headers, InputStream input, Socket socket) {
        String id() {
            return headers.get("poplarwood-request-id");
        }

        int length() {
            return Integer.parseInt(headers.getOrDefault("content-length", "0"));
        }
    }

    /** Runs one request; returns whether the connection may carry another one. */
    interface Work {
        boolean run(Request request) throws Exception;
    }

    static final String SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1";
    final String id;
    final String address;
    private final String service;
    private final String zone;
    private final Work work;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    Server(String id, String service, String zone, int receiveBuffer, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.work = work;
        listener = new ServerSocket();
        if (receiveBuffer > 0) listener.setReceiveBufferSize(receiveBuffer);
        listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        address = "127.0.0.1:" + listener.getLocalPort();
        Deployment.background(this::accept);
    }

    /** The entry of this server in the store. */
    String registration(String state, int slots) {
        return "{\"address\":\"" + address + "\",\"born\":1790000000000,\"info\":{\"service\":\"" + service
            + "\",\"version\":\"v1\",\"zone\":\"" + zone + "\",\"capacity\":" + slots
            + "},\"status\":{\"state\":\"" + state + "\",\"sequence\":4,\"warmup-left-s\":0}}";
    }

    /** Head of an answer to {@code request}; {@code length} is left out when it is negative. */
    static byte[] head(Request request, int status, String reason, long length) {
        String head = "HTTP/1.1 " + status + " " + reason + "\r\nPoplarwood-Request-Id: " + request.id()
            + "\r\nPoplarwood-Upstream-Signature: " + SIGNATURE + "\r\nPoplarwood-Backend-Load: 1,0,3,100\r\n"
            + (length < 0 ? "Connection: close\r\n" : "Content-Length: " + length + "\r\n") + "\r\n";
        return head.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends a whole answer. */
    static void reply(Request request, byte[] body) throws IOException {
        byte[] head = head(request, 200, "OK", body.length);
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        request.socket().getOutputStream().write(all);
    }

    /** Ends the server: its connections end and its port is closed. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) socket.close();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                Deployment.background(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Request request = read(input, socket);
                if (request == null || !answer(request)) return;
            }
        } catch (Exception e) {
            // The other end closed or reset the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    private boolean answer(Request request) throws Exception {
        if (request.target().equals("/healthz")) {
            String head = "HTTP/1.1 200 OK\r\nPoplarwood-Instance-Id: " + id
                + "\r\nPoplarwood-Backend-Load: 1,0,3,100\r\nContent-Length: 0\r\n\r\n";
            request.socket().getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }
        String expected = request.headers().get("poplarwood-expect-instance");
        if (expected != null && !expected.equals(id)) {
            request.input().readNBytes(request.length());
            String head = "HTTP/1.1 421 Misdirected Request\r\nPoplarwood-Instance-Id: " + id
                + "\r\nPoplarwood-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            request.socket().getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            return true;
        }
        Deployment.note("run " + request.id() + " at " + id);
        return work.run(request);
    }

    private static Request read(InputStream input, Socket socket) throws IOException {
        String first = line(input);
        if (first == null) return null;
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = line(input);
            if (line == null) return null;
            if (line.isEmpty()) break;
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        String[] words = first.split(" ");
        return new Request(words[0], words[1], headers, input, socket);
    }

    static String line(InputStream input) throws IOException {
        StringBuilder text = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) return null;
            if (next == '\n') return text.toString();
            if (next != '\r') text.append((char) next);
        }
    }
}
