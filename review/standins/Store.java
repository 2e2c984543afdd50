import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * Stand-in for the platform's metadata store on loopback: the calls rows-get, rows-feed and rows-tx of PROTOCOL.md,
 * without rate limits. Nothing it acknowledged is lost, and it keeps its whole history.
 */
final class Store implements AutoCloseable {
    private record Row(String table, String part, String key, String value, long ver) {
        String json() {
            String head = "{\"table\":" + Json.quote(table) + ",\"part\":" + Json.quote(part) + ",\"key\":"
                + Json.quote(key) + ",\"ver\":" + ver;
            return head + (value == null ? ",\"tombstone\":true}" : ",\"value\":" + Json.quote(value) + "}");
        }
    }

    private final TreeMap<String, Row> rows = new TreeMap<>();
    /** The newest change of each row, in order. */
    private final List<Row> history = new ArrayList<>();
    private long version;
    private final HttpServer server;
    final String address;

    Store() throws IOException {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/rows-get", this::get);
        server.createContext("/rows-feed", this::feed);
        server.createContext("/rows-tx", this::transact);
        server.start();
        address = "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Writes a row, as operators and servers do; returns when the store has confirmed it. */
    synchronized void put(String table, String key, String value) {
        version++;
        apply(table, "", key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Removes a row, as a server does that leaves. */
    synchronized void remove(String table, String key) {
        version++;
        apply(table, "", key, null);
    }

    synchronized long version() {
        return version;
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void apply(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, version);
        String id = id(table, part, key);
        if (value == null) rows.remove(id); else rows.put(id, row);
        history.removeIf(it -> id(it.table, it.part, it.key).equals(id));
        history.add(row);
        notifyAll();
    }

    private static String id(String table, String part, String key) {
        return table + "\u0000" + part + "\u0000" + key;
    }

    private void get(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        String body;
        synchronized (this) {
            List<Row> found = new ArrayList<>();
            int limit = query.containsKey("limit") ? Integer.parseInt(query.get("limit")) : 500;
            boolean more = false;
            for (Row row : rows.values()) {
                if (!row.table.equals(query.get("table")) || !row.part.equals(query.getOrDefault("part", ""))) continue;
                if (row.key.compareTo(query.getOrDefault("from", "")) < 0) continue;
                if (query.containsKey("to") && row.key.compareTo(query.get("to")) >= 0) continue;
                if (found.size() == Math.min(limit, 500)) {
                    more = true;
                    break;
                }
                found.add(row);
            }
            body = page(found, more);
        }
        answer(exchange, 200, body);
    }

    private void feed(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        long after = Long.parseLong(query.get("after"));
        long waitUntil = System.nanoTime() + Long.parseLong(query.getOrDefault("wait-ms", "0")) * 1_000_000;
        String body;
        synchronized (this) {
            while (true) {
                List<Row> found = history.stream()
                    .filter(it -> it.table.equals(query.get("table")) && it.ver > after).toList();
                long left = (waitUntil - System.nanoTime()) / 1_000_000;
                if (!found.isEmpty() || left <= 0) {
                    body = page(found, false);
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
        answer(exchange, 200, body);
    }

    private void transact(HttpExchange exchange) throws IOException {
        String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, Object> call = Json.object(Json.parse(text));
        int status = 200;
        String body;
        synchronized (this) {
            List<Row> current = new ArrayList<>();
            for (Object condition : Json.list(call.get("precondition"))) {
                Map<String, Object> fields = Json.object(condition);
                Row row = rows.get(id(fields));
                long ver = row == null ? 0 : row.ver;
                if (ver != ((Double) fields.get("ver")).longValue()) status = 412;
                if (row != null) current.add(row);
            }
            if (status == 200) {
                version++;
                for (Object put : Json.list(call.get("puts"))) applyEntry(Json.object(put), true);
                for (Object delete : Json.list(call.get("deletes"))) applyEntry(Json.object(delete), false);
                body = "{\"ver\":" + version + "," + now() + "}";
            } else {
                body = page(current, false);
            }
        }
        answer(exchange, status, body);
    }

    private static String id(Map<String, Object> fields) {
        return id((String) fields.get("table"), (String) fields.getOrDefault("part", ""), (String) fields.get("key"));
    }

    private void applyEntry(Map<String, Object> fields, boolean isPut) {
        String part = (String) fields.getOrDefault("part", "");
        apply((String) fields.get("table"), part, (String) fields.get("key"), isPut ? (String) fields.get("value") : null);
    }

    private String page(List<Row> found, boolean more) {
        String list = String.join(",", found.stream().map(Row::json).toList());
        return "{\"rows\":[" + list + "],\"has-more\":" + more + ",\"ver\":" + version + "," + now() + "}";
    }

    private static String now() {
        return "\"now-s\":" + System.nanoTime() / 1_000_000 / 1e3;
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> fields = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) return fields;
        for (String field : raw.split("&")) {
            int at = field.indexOf('=');
            String value = at < 0 ? "" : URLDecoder.decode(field.substring(at + 1), StandardCharsets.UTF_8);
            fields.put(at < 0 ? field : field.substring(0, at), value);
        }
        return fields;
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "1");
        try (exchange) {
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }
}
