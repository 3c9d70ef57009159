import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: store, runners and entry processes, which are started
 * with the run line and the settings template of the deploy file.
 */
final class Fleet implements AutoCloseable {

	private static final java.util.Random RANDOM = new java.util.Random();

	static final String HOST = "ficu95.example";

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	static final String KEY_2 = "anfqasnmgkcuyj8pjbvk";

	final Record record;

	final Path root;

	final Path temporary;

	final Store store;

	/** Address of the store as the entry processes know it. */
	String storeAddress;

	final List<Runner> runners = new ArrayList<>();

	final List<Entry> entries = new ArrayList<>();

	static final class Entry {

		String name;

		Process process;

		String front;

		String ready;

		String metrics;

		Path log;

	}

	Fleet(Path root, Record record) throws IOException {
		this.root = root;
		this.record = record;
		this.temporary = Files.createTempDirectory("review-2-");
		this.store = new Store();
		this.storeAddress = this.store.address();
	}

	/** Returns a free port below those that the system gives to clients. */
	static int freePort() throws IOException {
		while (true) {
			int port = 12_000 + RANDOM.nextInt(18_000);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
				return socket.getLocalPort();
			}
			catch (java.net.BindException ex) {
				// In use.
			}
		}
	}

	synchronized Runner addRunner(String service) throws IOException {
		Runner runner = new Runner("i-" + service + "-" + this.runners.size(), service, this.record);
		this.runners.add(runner);
		this.store.put("keyed.servers", runner.id, runner.entry("ready", runner.bornMillis));
		return runner;
	}

	void publish(int version, String routes, String tenants) {
		this.store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes
				+ "],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/health\",\"maxConnections\":620,\"protocol\":\"h1\","
				+ "\"tls\":false,\"engine\":{\"slots\":128,\"kvCapacity\":1150253,\"kvTokenBytes\":18432,\"linkMbps\":370000.0,"
				+ "\"moves\":true,\"backups\":true,\"stride\":5,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,"
				+ "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"app\",\"healthPath\":\"/health\",\"maxConnections\":100,"
				+ "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
				+ "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[" + tenants + "]}");
	}

	static String route(String name, String prefix, String kind, int timeoutMillis, int targetMillis, int attempts,
			String service, boolean resumable) {
		return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix + "\",\"kind\":\""
				+ kind + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":" + targetMillis
				+ ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts
				+ ",\"anonymous\":false,\"sticky\":" + service.equals("llm") + ",\"resumable\":" + resumable
				+ (kind.equals("streaming") ? ",\"targetGapMs\":600" : "") + "}";
	}

	static String tenant(String name, String... keys) {
		return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + String.join("\",\"", keys) + "\"],\"priority\":1}";
	}

	static final String TENANTS = tenant("hule930", KEY) + "," + tenant("fida11", KEY_2);

	/** The usual routes: orders, reads, streams, and streams that may be resumed. */
	static String routes() {
		return route("r-order", "/order/", "non_idempotent", 3000, 386, 1, "app", false) + ","
				+ route("r-read", "/read/", "idempotent", 3000, 386, 2, "app", false) + ","
				+ route("r-chat", "/chat/", "streaming", 8000, 1000, 1, "llm", false) + ","
				+ route("r-brief", "/brief/", "streaming", 8000, 1000, 2, "llm", true);
	}

	Entry start(String name) throws Exception {
		Entry entry = new Entry();
		entry.name = name;
		entry.front = "127.0.0.1:" + freePort();
		entry.ready = "127.0.0.1:" + freePort();
		int peerPort = freePort();
		Map<String, String> fields = new TreeMap<>();
		fields.put("node", name);
		fields.put("zone", "z-a");
		fields.put("listen.front", entry.front);
		fields.put("listen.ready", entry.ready);
		fields.put("ip", "127.0.0.1");
		fields.put("platform.address", this.storeAddress);
		fields.put("bounds.graceS", "8");
		fields.put("bounds.revokeMs", "5000");
		fields.put("bounds.retryBudgetRatio", "0.2");
		fields.put("bounds.budgetWindowS", "10");
		fields.put("bounds.budgetMinRetries", "54");
		fields.put("limits.maxFds", "4100");
		fields.put("portRange.0", Integer.toString(peerPort));
		String template = Files.readString(this.root.resolve("platform/entry.toml.template"));
		entry.metrics = "127.0.0.1:" + freePort();
		String settings = render(template, fields).replace("127.0.0.1:9464", entry.metrics);
		Path file = this.temporary.resolve(name + ".toml");
		Files.writeString(file, settings);
		entry.log = this.temporary.resolve(name + ".log");
		launch(entry);
		this.entries.add(entry);
		return entry;
	}

	void launch(Entry entry) throws Exception {
		String deploy = Files.readString(this.root.resolve("deploy/system.toml"));
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
		run.find();
		List<String> words = new ArrayList<>();
		for (String word : run.group(1).split(" ")) {
			words.add(word.equals("/etc/marjoramgw/local.json")
					? this.temporary.resolve(entry.name + ".toml").toString() : word);
		}
		ProcessBuilder builder = new ProcessBuilder(words).directory(this.root.toFile());
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(entry.log.toFile()));
		entry.process = builder.start();
		this.record.line("start " + entry.name + " pid=" + entry.process.pid());
	}

	void awaitReady(Entry entry) throws Exception {
		for (int count = 0; count < 400; count++) {
			if (isReady(entry)) {
				this.record.line("ready " + entry.name);
				return;
			}
			Thread.sleep(100);
		}
		throw new IllegalStateException("not ready: " + entry.name);
	}

	static boolean isReady(Entry entry) {
		return Client.send(entry.ready, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", new byte[0],
				1_000).status == 200;
	}

	/** Renders the sections and values that the template uses; fields without a value are left out. */
	private static String render(String template, Map<String, String> fields) {
		Matcher section = Pattern.compile("\\{\\{#([^}]*)\\}\\}(.*?)\\{\\{/\\1\\}\\}").matcher(template);
		String shown = section.replaceAll((match) -> fields.containsKey(match.group(1))
				? Matcher.quoteReplacement(match.group(2)) : "");
		return Pattern.compile("\\{\\{([^}]*)\\}\\}")
			.matcher(shown)
			.replaceAll((match) -> Matcher.quoteReplacement(fields.getOrDefault(match.group(1), "")));
	}

	@Override
	public void close() throws Exception {
		for (Entry entry : this.entries) {
			entry.process.destroyForcibly();
			entry.process.waitFor(5, TimeUnit.SECONDS);
			if (System.getenv("KEEP_LOG") != null) {
				Files.copy(entry.log, Path.of(System.getenv("KEEP_LOG"), entry.name + ".log"),
						java.nio.file.StandardCopyOption.REPLACE_EXISTING);
			}
		}
		try (var files = Files.walk(this.temporary)) {
			files.sorted(java.util.Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
