import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.regex.*;

/**
 * Small stand-ins of the platform's store, of backend servers and of clients, and the start of
 * the entry process with the command of the deploy file. Loopback addresses only.
 */
final class Rig implements AutoCloseable {

    static final String HOST = "ficu95.example";
    static final String KEY = "n2ctnfzs989anu6wsjnb";

    final PrintWriter record;
    final long startNanos = System.nanoTime();
    final Path temp;
    final Store store;
    final List<AutoCloseable> owned = Collections.synchronizedList(new ArrayList<>());

    Rig(String recordFile) throws IOException {
        this.record = new PrintWriter(new BufferedWriter(new FileWriter(recordFile, StandardCharsets.UTF_8)));
        this.temp = Files.createTempDirectory("marjoramgw-review");
        this.store = new Store();
        this.owned.add(this.store);
    }

    long millis() {
        return (System.nanoTime() - this.startNanos) / 1_000_000;
    }

    void log(String line) {
        synchronized (this.record) {
            this.record.println(millis() + " " + line);
            this.record.flush();
        }
    }

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException ex) {
            throw new IllegalStateException(ex);
        }
    }

    static Thread thread(Runnable action) {
        Thread thread = new Thread(null, action, "rig", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static final Set<Integer> TAKEN = new HashSet<>();

    /** Returns a free port below those that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            if (!TAKEN.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException ex) {
                // In use; the next one is tried.
            }
        }
        throw new IOException("no free port");
    }

    @Override
    public void close() {
        List<AutoCloseable> reversed = new ArrayList<>(this.owned);
        Collections.reverse(reversed);
        for (AutoCloseable each : reversed) {
            try {
                each.close();
            } catch (Exception ex) {
                log("close failed: " + ex);
            }
        }
        try (var files = Files.walk(this.temp)) {
            files.sorted(Comparator.reverseOrder()).forEach((path) -> path.toFile().delete());
        } catch (IOException ex) {
            log("temporary folder not removed: " + ex);
        }
        this.record.close();
    }

    // ---------------------------------------------------------------- HTTP

    /** Head and body of a message as it was received. */
    static final class Message {
        String startLine;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        boolean complete = true;

        String header(String name) {
            for (String[] header : this.headers) {
                if (header[0].equalsIgnoreCase(name)) {
                    return header[1];
                }
            }
            return null;
        }

        int status() {
            return Integer.parseInt(this.startLine.split(" ")[1]);
        }

        String method() {
            return this.startLine.split(" ")[0];
        }

        String target() {
            return this.startLine.split(" ")[1];
        }

        String id() {
            return header("X-Request-Id");
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        if (next < 0) {
            throw new EOFException("ended inside a line");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Message message = new Message();
        message.startLine = start;
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("ended inside a head");
            }
            if (line.isEmpty()) {
                return message;
            }
            int colon = line.indexOf(':');
            message.headers.add(new String[] { line.substring(0, colon).trim(), line.substring(colon + 1).trim() });
        }
    }

    /** Reads a body; sets {@code complete} to false if it ends early. */
    static void readBody(Message message, InputStream in, boolean response) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
                while (true) {
                    String size = readLine(in);
                    if (size == null) {
                        throw new EOFException("ended before a chunk");
                    }
                    int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (length == 0) {
                        while (true) {
                            String trailer = readLine(in);
                            if (trailer == null) {
                                throw new EOFException("ended in the trailer");
                            }
                            if (trailer.isEmpty()) {
                                break;
                            }
                        }
                        break;
                    }
                    copy(in, body, length);
                    readLine(in);
                }
            } else if (message.header("Content-Length") != null) {
                copy(in, body, Integer.parseInt(message.header("Content-Length")));
            } else if (response) {
                in.transferTo(body);
            }
        } catch (IOException ex) {
            message.complete = false;
        }
        message.body = body.toByteArray();
    }

    private static void copy(InputStream in, OutputStream out, int length) throws IOException {
        byte[] buffer = new byte[8192];
        int left = length;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("ended inside a body");
            }
            out.write(buffer, 0, count);
            left -= count;
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---------------------------------------------------------------- server

    interface Handler {
        /** Returns whether the connection is kept. */
        boolean handle(Message request, Connection connection) throws Exception;
    }

    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 8192);
            this.out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            this.out.write(ascii(text));
            this.out.flush();
        }

        void reset() {
            try {
                this.socket.setSoLinger(true, 0);
                this.socket.close();
            } catch (IOException ex) {
                // Already closed.
            }
        }
    }

    static final class Server implements AutoCloseable {
        final ServerSocket socket;
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;

        Server(int port, Handler handler) throws IOException {
            this.socket = new ServerSocket();
            this.socket.setReuseAddress(true);
            this.socket.bind(new InetSocketAddress("127.0.0.1", port), 512);
            thread(() -> accept(handler));
        }

        int port() {
            return this.socket.getLocalPort();
        }

        private void accept(Handler handler) {
            while (!this.closed) {
                try {
                    Socket accepted = this.socket.accept();
                    accepted.setTcpNoDelay(true);
                    this.open.add(accepted);
                    thread(() -> serve(accepted, handler));
                } catch (IOException ex) {
                    if (!this.closed) {
                        sleep(5);
                    }
                }
            }
        }

        private void serve(Socket accepted, Handler handler) {
            try (accepted) {
                Connection connection = new Connection(accepted);
                while (true) {
                    Message request = readHead(connection.in);
                    if (request == null) {
                        return;
                    }
                    readBody(request, connection.in, false);
                    if (!request.complete || !handler.handle(request, connection)) {
                        return;
                    }
                }
            } catch (Exception ex) {
                // The peer has closed.
            } finally {
                this.open.remove(accepted);
            }
        }

        @Override
        public void close() throws IOException {
            this.closed = true;
            this.socket.close();
            for (Socket each : this.open) {
                each.close();
            }
        }
    }

    // ---------------------------------------------------------------- store

    /** The platform's store, as far as the entry process uses it. */
    static final class Store implements AutoCloseable {
        record Entry(String key, byte[] value) {
        }

        final Map<String, List<Entry>> topics = new HashMap<>();
        final Server server;
        /** Amount of records that one read returns at most, as the users' page sets it. */
        static final int MAX_READ_BYTES = 1024 << 10;
        volatile boolean silent;
        /** Whether the store turns the entry process away with 503. */
        volatile boolean busy;

        Store() throws IOException {
            this.server = new Server(0, this::handle);
        }

        int port() {
            return this.server.port();
        }

        synchronized void put(String topic, String key, String value) {
            this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>())
                .add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
            notifyAll();
        }

        /** Resets all connections and turns callers away until {@link #busy} is cleared. */
        void turnAway() throws IOException {
            this.busy = true;
            for (Socket each : this.server.open) {
                each.setSoLinger(true, 0);
                each.close();
            }
        }

        void putConfig(String value) {
            put("keyed.op", "config", value);
        }

        void putServer(String id, String service, int port, String state) {
            put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                    + "\",\"zone\":\"dal-a\",\"version\":\"v1\",\"slots\":128,\"state\":\"" + state
                    + "\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + System.currentTimeMillis() + "}");
        }

        private static Map<String, String> query(String target) {
            Map<String, String> query = new HashMap<>();
            int mark = target.indexOf('?');
            for (String pair : (mark < 0) ? new String[0] : target.substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
            return query;
        }

        private boolean handle(Message request, Connection connection) throws Exception {
            while (this.silent) {
                sleep(20);
            }
            if (this.busy) {
                reply(connection, 503, "application/json", ascii("{}"));
                return true;
            }
            Map<String, String> query = query(request.target());
            String topic = query.get("topic");
            if (request.target().startsWith("/-/log-newest")) {
                reply(connection, 200, "application/json", newest(topic));
            } else if (request.target().startsWith("/-/log-read")) {
                reply(connection, 200, "application/octet-stream",
                        read(topic, Integer.parseInt(query.get("from")), Long.parseLong(query.getOrDefault("waitMs", "0"))));
            } else if (request.target().startsWith("/-/log-append")) {
                reply(connection, 200, "application/json", append(topic, request.body));
            } else {
                reply(connection, 404, "application/json", ascii("{}"));
            }
            return true;
        }

        private void reply(Connection connection, int status, String type, byte[] body) throws IOException {
            while (this.silent) {
                sleep(20);
            }
            connection.write("HTTP/1.1 " + status + " OK\r\nContent-Type: " + type + "\r\nContent-Length: " + body.length
                    + "\r\n\r\n");
            connection.out.write(body);
            connection.out.flush();
        }

        private synchronized byte[] newest(String topic) {
            List<Entry> entries = this.topics.getOrDefault(topic, List.of());
            Map<String, Integer> newest = new LinkedHashMap<>();
            for (int offset = 0; offset < entries.size(); offset++) {
                newest.remove(entries.get(offset).key);
                if (entries.get(offset).value.length > 0) {
                    newest.put(entries.get(offset).key, offset);
                }
            }
            StringBuilder items = new StringBuilder();
            newest.forEach((key, offset) -> items.append(items.length() > 0 ? "," : "")
                .append("{\"key\":\"" + key + "\",\"value\":\"")
                .append(Base64.getEncoder().encodeToString(entries.get(offset).value))
                .append("\",\"offset\":" + offset + "}"));
            return ascii("{\"items\":[" + items + "],\"hasMore\":false,\"end\":" + entries.size() + "}");
        }

        private synchronized byte[] read(String topic, int from, long waitMs) throws Exception {
            long until = System.nanoTime() + waitMs * 1_000_000;
            while (this.topics.getOrDefault(topic, List.of()).size() <= from) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    break;
                }
                wait(left);
            }
            List<Entry> entries = this.topics.getOrDefault(topic, List.of());
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(body);
            out.writeLong(entries.size());
            out.writeLong(0);
            for (int offset = from; offset < entries.size(); offset++) {
                byte[] key = entries.get(offset).key.getBytes(StandardCharsets.UTF_8);
                byte[] value = entries.get(offset).value;
                if (offset > from && body.size() + 5 + key.length + value.length > MAX_READ_BYTES) {
                    break;
                }
                out.writeInt(1 + key.length + value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(value);
            }
            return body.toByteArray();
        }

        private synchronized byte[] append(String topic, byte[] body) throws IOException {
            DataInputStream in = new DataInputStream(new ByteArrayInputStream(body));
            List<Entry> entries = this.topics.computeIfAbsent(topic, (name) -> new ArrayList<>());
            int first = entries.size();
            while (in.available() > 0) {
                byte[] content = new byte[in.readInt()];
                in.readFully(content);
                int keyLength = content[0] & 0xff;
                entries.add(new Entry(new String(content, 1, keyLength, StandardCharsets.UTF_8),
                        Arrays.copyOfRange(content, 1 + keyLength, content.length)));
            }
            notifyAll();
            return ascii("{\"offset\":" + first + ",\"end\":" + entries.size() + "}");
        }

        @Override
        public void close() throws IOException {
            this.server.close();
        }
    }

    /** A configuration with one route of each kind; limits as on the users' page. */
    static String config(int version, int idleTimeoutMs, String keys, String routes) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
                + "{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":620,\"protocol\":\"h1\",\"tls\":false},"
                + "{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":620,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
                + idleTimeoutMs + "},\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[" + keys + "],\"priority\":1}]}";
    }

    static String route(String prefix, String kind, int timeoutMs, String service, boolean resumable, int attempts) {
        return "{\"name\":\"r" + prefix.replace("/", "-") + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":1000,\"priority\":2,"
                + "\"service\":\"" + service + "\",\"attempts\":" + attempts + ",\"anonymous\":false,\"sticky\":"
                + kind.equals("streaming") + ",\"resumable\":" + resumable + ",\"targetGapMs\":600}";
    }

    static String routes() {
        return route("/digest/", "streaming", 8000, "llm", false, 1) + ","
                + route("/compare/", "streaming", 5000, "llm", true, 2) + ","
                + route("/reply/", "streaming", 10000, "llm", false, 1) + ","
                + route("/book/", "non_idempotent", 1500, "app", false, 1) + ","
                + route("/stock/", "idempotent", 1500, "app", false, 2);
    }

    // ---------------------------------------------------------------- entry

    /** One entry process. */
    final class Entry implements AutoCloseable {
        final int front;
        final int ready;
        final Process process;
        final String name;

        Entry(String name) throws IOException {
            this.name = name;
            this.front = freePort();
            this.ready = freePort();
            Path settings = Rig.this.temp.resolve(name + ".toml");
            Files.writeString(settings, String.join("\n", "process_id = \"" + name + "\"", "failure_domain = \"dal-a\"",
                    "callers_address = \"127.0.0.1:" + this.front + "\"",
                    "health_address = \"127.0.0.1:" + this.ready + "\"", "health_path = \"/-/ready\"",
                    "metrics_address = \"127.0.0.1:" + freePort() + "\"", "metrics_path = \"/metrics\"",
                    "store_address = \"127.0.0.1:" + Rig.this.store.port() + "\"", "stop_grace_s = 8",
                    "revocation_ms = 5000", "retry_ratio = 0.2", "retry_window_s = 10", "free_retry_count = 54", ""));
            Path root = Path.of(System.getProperty("root")).toAbsolutePath();
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("no run line in deploy/system.toml");
            }
            List<String> command = new ArrayList<>();
            for (String word : run.group(1).split(" ")) {
                command.add(word.equals("/etc/marjoramgw/local.json") ? settings.toString() : word);
            }
            File output = new File(System.getProperty("logs"), name + ".log");
            this.process = new ProcessBuilder(command).directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(output)
                .start();
            Rig.this.owned.add(this);
            log("started " + name + " pid=" + this.process.pid());
        }

        boolean isReady() {
            try (Socket socket = new Socket("127.0.0.1", this.ready)) {
                socket.setSoTimeout(1000);
                socket.getOutputStream().write(ascii("GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
                Message head = readHead(socket.getInputStream());
                return head != null && head.status() == 200;
            } catch (IOException ex) {
                return false;
            }
        }

        void awaitReady() {
            for (int i = 0; i < 300; i++) {
                if (isReady()) {
                    log(this.name + " is ready");
                    return;
                }
                sleep(50);
            }
            throw new IllegalStateException(this.name + " did not become ready");
        }

        void signal(String signal) throws Exception {
            log("SIG" + signal + " to " + this.name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
        }

        @Override
        public void close() throws Exception {
            this.process.destroyForcibly().waitFor();
        }
    }

    // ---------------------------------------------------------------- client

    /** One connection of a client. */
    static final class Caller implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Caller(int port) throws IOException {
            this(port, 0);
        }

        Caller(int port, int receiveBufferBytes) throws IOException {
            this.socket = new Socket();
            if (receiveBufferBytes > 0) {
                this.socket.setReceiveBufferSize(receiveBufferBytes);
            }
            this.socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            this.socket.setTcpNoDelay(true);
            this.in = new BufferedInputStream(this.socket.getInputStream(), 8192);
        }

        static String head(String method, String path, String id, int deadlineMs, int length, String... more) {
            return headWithKey(KEY, method, path, id, deadlineMs, length, more);
        }

        static String headWithKey(String key, String method, String path, String id, int deadlineMs, int length,
                String... more) {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: "
                    + id + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nAuthorization: Token " + key + "\r\n");
            for (String header : more) {
                head.append(header).append("\r\n");
            }
            if (length >= 0) {
                head.append("Content-Length: ").append(length).append("\r\n");
            }
            return head.append("\r\n").toString();
        }

        void send(String head, byte[] body) throws IOException {
            this.socket.getOutputStream().write(ascii(head));
            if (body != null) {
                this.socket.getOutputStream().write(body);
            }
            this.socket.getOutputStream().flush();
        }

        /** Reads an answer; null if the connection ended before it. */
        Message receive(int timeoutMs) throws IOException {
            this.socket.setSoTimeout(timeoutMs);
            Message answer = readHead(this.in);
            if (answer != null) {
                readBody(answer, this.in, true);
            }
            return answer;
        }

        @Override
        public void close() throws IOException {
            this.socket.close();
        }
    }

    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }
}
