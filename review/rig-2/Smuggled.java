import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client with a key of its own hides line ends in a parameter of its Content-Type, as
 * characters whose low bytes they are. The runner gets a second request out of the first
 * one, in the name of another tenant.
 */
final class Smuggled extends Case {

	/** U+010D and U+010A: their low bytes are the line end. */
	private static final String HIDDEN_LINE_END = "\u010d\u010a";

	private final Map<String, String> tenantById = new ConcurrentHashMap<>();

	private final Set<String> foreign = new TreeSet<>();

	public static void main(String[] arguments) {
		run(Path.of(arguments[0]), new Smuggled());
	}

	@Override
	String play(Fleet fleet, Record record) throws Exception {
		for (int count = 0; count < 3; count++) {
			fleet.addRunner("app").behaviour = this::answer;
			fleet.addRunner("llm").behaviour = this::answer;
		}
		fleet.publish(7, Fleet.routes(), Fleet.TENANTS);
		Fleet.Entry entry = fleet.start("edge-1");
		fleet.awaitReady(entry);
		Thread.sleep(1_000);
		for (int count = 1; count <= 10; count++) {
			send(entry, record, "own-" + count, count);
			Thread.sleep(200);
		}
		Thread.sleep(1_000);
		record.line("runs that no client asked for: " + this.foreign);
		System.out.println("runs that no client asked for: " + this.foreign);
		return this.foreign.isEmpty() ? "" : this.foreign.size() + " runs that no client asked for";
	}

	private void send(Fleet.Entry entry, Record record, String id, int number) {
		String hidden = HIDDEN_LINE_END + HIDDEN_LINE_END + "POST /order/hidden HTTP/1.1" + HIDDEN_LINE_END + "Host: "
				+ Fleet.HOST + HIDDEN_LINE_END + "X-Request-Id: hidden-" + number + HIDDEN_LINE_END + "X-Tenant: hule930"
				+ HIDDEN_LINE_END + "X-Pad: ";
		String type = "text/plain; a=\"b" + (TROUBLE ? hidden : "") + "\"";
		byte[] body = Fleet.bytes("{\"lot\":17}");
		// The client's bytes are UTF-8.
		String raw = new String(type.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
		this.tenantById.put(id, "fida11");
		record.line("send " + id + " with the key of fida11, content type of " + raw.length() + " bytes");
		Client.Answer answer = Client.send(entry.front, Client.head("POST", "/order/own", id, 3_000, Fleet.KEY_2,
				"Content-Type: " + raw + "\r\n", body.length), body, 4_000);
		record.line("answer " + id + " " + answer);
	}

	private boolean answer(Http.Request request, Socket socket) throws Exception {
		String id = request.header("x-request-id");
		String tenant = request.header("x-tenant");
		if (!tenant.equals(this.tenantById.get(id))) {
			synchronized (this) {
				this.foreign.add(id + " " + request.method + " " + request.target + " as " + tenant);
			}
		}
		return Runner.plain(request, socket, Fleet.bytes("ok"));
	}

}
