import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stand-in for a requester: one connection to a node. */
final class Client implements AutoCloseable {
    static final String HOST = "ficu95.example";

    /** An answer; {@code complete} says whether its body arrived whole. Status 0: the connection ended before it. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {
        boolean closes() {
            return "close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    final Socket socket = new Socket();
    private final InputStream input;
    private final String address;
    private String lastId = "";

    Client(String address, int receiveBuffer) throws IOException {
        this.address = address;
        if (receiveBuffer > 0) socket.setReceiveBufferSize(receiveBuffer);
        socket.setTcpNoDelay(true);
        socket.connect(Deployment.socketAddress(address), 1_000);
        socket.setSoTimeout(20_000);
        input = receiveBuffer > 0 ? socket.getInputStream() : new BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String target, String id, int deadlineMs, byte[] body) throws IOException {
        noteSent(method + " " + target, id, body == null ? 0 : body.length);
        sendQuietly(method, target, id, deadlineMs, body);
    }

    /** Notes that a request is sent, for one that the caller writes itself. */
    void noteSent(String what, String id, int bytes) {
        lastId = id;
        Deployment.note("sent " + id + " " + what + ", " + bytes + " bytes, to " + address);
    }

    void sendQuietly(String method, String target, String id, int deadlineMs, byte[] body) throws IOException {
        String head = method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nPoplarwood-Request-Id: " + id
            + "\r\nPoplarwood-Deadline-Ms: " + deadlineMs + "\r\n"
            + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(bytes);
        if (body != null) all.write(body);
        socket.getOutputStream().write(all.toByteArray());
    }

    /** Receives one answer; at {@code bytesPerS}, when that is positive. */
    Answer receive(int bytesPerS) {
        Answer answer = receiveQuietly(bytesPerS);
        Deployment.note("answered " + lastId + " with status " + answer.status() + ", " + answer.body().length
            + " bytes, complete " + answer.complete());
        return answer;
    }

    Answer receiveQuietly(int bytesPerS) {
        Map<String, String> headers = new LinkedHashMap<>();
        int status = 0;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String first = Server.line(input);
            if (first == null) return new Answer(0, headers, new byte[0], false);
            status = Integer.parseInt(first.split(" ")[1]);
            while (true) {
                String line = Server.line(input);
                if (line == null) return new Answer(status, headers, new byte[0], false);
                if (line.isEmpty()) break;
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
            boolean hasLength = headers.containsKey("content-length");
            long left = hasLength ? Long.parseLong(headers.get("content-length")) : Long.MAX_VALUE;
            byte[] bytes = new byte[16 * 1024];
            long startedAt = System.nanoTime();
            while (left > 0) {
                int count = input.read(bytes, 0, (int) Math.min(bytes.length, left));
                if (count < 0) return new Answer(status, headers, body.toByteArray(), !hasLength);
                body.write(bytes, 0, count);
                left -= count;
                if (bytesPerS > 0) {
                    long dueNs = body.size() * 1_000_000_000L / bytesPerS;
                    long waitMs = (dueNs - (System.nanoTime() - startedAt)) / 1_000_000;
                    if (waitMs > 0) Thread.sleep(waitMs);
                }
            }
            return new Answer(status, headers, body.toByteArray(), true);
        } catch (IOException e) {
            return new Answer(status, headers, body.toByteArray(), false);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
