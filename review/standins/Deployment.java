import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: gateway processes, started with the command and the template of the deploy file, a
 * stand-in store and what a case adds. Each gateway has a loopback address of its own, as machines have, since the
 * template names one port for metrics.
 */
final class Deployment implements AutoCloseable {
    /** The case could not be run. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    /** What a case does; returns what broke the rule, or nothing. */
    interface Case {
        List<String> run(Deployment deployment, boolean trouble) throws Exception;
    }

    /** One machine: its name and addresses stay the same over restarts. */
    final class Node {
        final String name;
        final String ip;
        private final Map<String, Object> fields = new LinkedHashMap<>();
        Process process;

        private Node(String name, String zone) throws IOException {
            this.name = name;
            ip = freeIp();
            int[] inner = {freePort(ip), freePort(ip)};
            fields.put("node-name", name);
            fields.put("zone", zone);
            fields.put("ip", ip);
            fields.put("heartbeat-s", "1.5");
            for (String role : List.of("front", "ready", "directory")) fields.put("listen." + role, ip + ":" + freePort(ip));
            fields.put("internal-port-range.0", inner[0]);
            fields.put("internal-port-range.1", inner[1]);
            fields.putAll(Map.of("platform.address", store.address, "platform.reads-per-s", 2000,
                "platform.writes-per-s", 400, "platform.row-bytes", 65536));
            fields.putAll(Map.of("limits.memory-mb", 430, "limits.max-fds", 4100, "limits.cpu-share", 0.6,
                "limits.cpu-cores", 1, "limits.link-mbps", 1000.0));
            fields.putAll(bounds);
        }

        String front() {
            return (String) fields.get("listen.front");
        }

        void start() throws IOException {
            Path settings = folder.resolve(name + ".jsonc");
            Files.writeString(settings, render(Files.readString(root.resolve("deploy/settings.jsonc")), fields));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("POPLARWOOD_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            File log = folder.resolve(name + ".log").toFile();
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
            synchronized (processes) {
                if (ending) throw new CannotRun("the run is ending");
                process = builder.start();
                processes.add(process);
            }
            record(name + " started, process " + process.pid());
        }

        int quietSignal(String signal) throws IOException, InterruptedException {
            return new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        void signal(String signal) throws IOException, InterruptedException {
            int code = quietSignal(signal);
            record("SIG" + signal + " to " + name + (code == 0 ? "" : ", which failed"));
        }

        boolean isReady() {
            try (Client client = new Client((String) fields.get("listen.ready"), 0)) {
                client.socket.setSoTimeout(2_000);
                client.sendQuietly("GET", "/readyz", "ready", 1_000, null);
                return client.receiveQuietly(0).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException {
            long until = System.nanoTime() + 20_000_000_000L;
            while (!isReady()) {
                if (System.nanoTime() > until || !process.isAlive()) throw new CannotRun(name + " did not become ready");
                Thread.sleep(50);
            }
            record(name + " is ready");
        }
    }

    private static final long MAX_RUN_MS = 110_000;
    private static volatile Deployment current;
    private final Path root;
    private final Path folder;
    private final PrintWriter log;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();
    private boolean ending;
    private final Map<String, Object> bounds = new LinkedHashMap<>();
    final Store store;

    private Deployment(Path root, Path recordFile) throws IOException {
        this.root = root;
        folder = Files.createTempDirectory("poplarwood-review");
        log = new PrintWriter(Files.newBufferedWriter(recordFile, StandardCharsets.UTF_8), false);
        store = new Store();
        bounds.putAll(Map.of("bounds.drain-s", 2, "bounds.grace-s", 6, "bounds.config-apply-s", 2,
            "bounds.retry-budget-ratio", 0.2, "bounds.retry-budget-slack", 64, "bounds.budget-window-s", 10,
            "bounds.ttl_max_s", 5, "bounds.probes-per-s", 60));
    }

    /** Runs {@code review} and ends with 1 if the rule was broken, 0 if it held and 2 if the case could not be run. */
    static void main(Case review) {
        int code = 2;
        Path root = Path.of(System.getProperty("review.root"));
        boolean trouble = !"0".equals(System.getProperty("review.trouble"));
        try (Deployment deployment = new Deployment(root, Path.of(System.getProperty("review.record")))) {
            Runtime.getRuntime().addShutdownHook(new Thread(deployment::endAll));
            background(() -> {
                try {
                    Thread.sleep(MAX_RUN_MS);
                } catch (InterruptedException e) {
                    return;
                }
                System.err.println("cannot run: it takes too long");
                System.exit(2);
            });
            current = deployment;
            if (!Files.exists(root.resolve("target/poplarwood-daemon.jar"))) {
                throw new CannotRun("the build of the deploy file was not run");
            }
            deployment.record(trouble ? "with the disruption" : "without the disruption");
            List<String> broken = review.run(deployment, trouble);
            broken.forEach(it -> deployment.record("RULE BROKEN: " + it));
            if (broken.isEmpty()) deployment.record("the rule held");
            code = broken.isEmpty() ? 0 : 1;
        } catch (CannotRun e) {
            System.err.println("cannot run: " + e.getMessage());
        } catch (Throwable e) {
            // The JVM would exit with 1, which says that the rule was broken.
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** Uses another figure of the site in the settings; call before nodes are added. */
    void setting(String name, Object value) {
        bounds.put(name, value);
    }

    Node node(String name, String zone) throws IOException {
        return new Node(name, zone);
    }

    /** Writes a line to the record and to the output. */
    void record(String text) {
        System.out.println(write(text));
        log.flush();
    }

    /** Writes what was sent, answered or run to the record of the case that runs in this process. */
    static void note(String text) {
        Deployment deployment = current;
        if (deployment != null) deployment.write(text);
    }

    private synchronized String write(String text) {
        String line = String.format("%8.3f %s", elapsedS(), text);
        log.println(line);
        return line;
    }

    double elapsedS() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    /** Puts a desired state; each route is the JSON of one path rule. */
    void putConfig(int version, List<String> services, List<String> routes) {
        String list = String.join(",", services.stream().map(it -> "{\"name\":\"" + it
            + "\",\"health-path\":\"/healthz\",\"max-connections\":260,\"protocol\":\"h1\",\"tls\":false}").toList());
        store.put("op", "config", "{\"version\":\"" + String.format("%08x", version) + "\",\"services\":[" + list
            + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\"header-timeout-s\":3,"
            + "\"idle-timeout-s\":15},\"virtual-hosts\":[{\"host\":\"" + Client.HOST + "\",\"path-rules\":["
            + String.join(",", routes) + "]}]}");
        record("desired state " + version + " is confirmed");
    }

    static String route(String prefix, String kind, String service, double timeoutS, double targetS, int maxAttempts) {
        return "{\"name\":\"r" + prefix.replace("/", "-") + "\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
            + "\",\"timeout-s\":" + timeoutS + ",\"target-latency-s\":" + targetS + ",\"priority\":1,\"service\":\""
            + service + "\",\"max-attempts\":" + maxAttempts + "}";
    }

    static Thread background(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        store.close();
        log.close();
        removeFolder();
    }

    /** Removes the temporary folder with the settings and logs of the nodes, unless the variable KEEP is set. */
    private void removeFolder() throws IOException {
        if (!Files.exists(folder)) return;
        if (System.getenv("KEEP") != null) {
            System.out.println("logs of the nodes: " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) Files.delete(file);
        }
        Files.delete(folder);
    }

    /** What remains to be done where the run itself is ended from outside or takes too long. */
    private void endAll() {
        endProcesses();
        try {
            if (System.getenv("KEEP") == null) removeFolder();
        } catch (IOException e) {
            e.printStackTrace();
        }
    }

    /** Ends all processes that were started; none can be started afterwards. */
    private void endProcesses() {
        List<Process> started;
        synchronized (processes) {
            ending = true;
            started = List.copyOf(processes);
        }
        for (Process process : started) process.destroyForcibly();
        for (Process process : started) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private List<String> command() throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) throw new CannotRun("the deploy file has no run");
        return List.of(run.group(1).split(" "));
    }

    private static String render(String template, Map<String, Object> fields) {
        return Pattern.compile("\\{\\{([^}]+)}}").matcher(template).replaceAll(placeholder -> {
            Object value = fields.get(placeholder.group(1));
            if (value == null) throw new CannotRun("the template names an unknown field " + placeholder.group(1));
            return Matcher.quoteReplacement(value.toString());
        });
    }

    private int nextHost = 1;

    private String freeIp() {
        long pid = ProcessHandle.current().pid();
        while (nextHost < 250) {
            String ip = "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + nextHost++;
            try (ServerSocket metrics = new ServerSocket(9464, 1, InetAddress.getByName(ip))) {
                return ip;
            } catch (IOException e) {
                // In use, for example by another case.
            }
        }
        throw new CannotRun("no loopback address is free");
    }

    private final java.util.Set<Integer> givenPorts = new java.util.HashSet<>();

    private int freePort(String ip) throws IOException {
        while (true) {
            int port;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
                port = socket.getLocalPort();
            }
            try (DatagramSocket socket = new DatagramSocket(port, InetAddress.getByName(ip))) {
                if (givenPorts.add(port)) return port;
            } catch (IOException e) {
                // Used by datagrams.
            }
        }
    }
}
