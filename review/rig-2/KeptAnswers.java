import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Clients read one long answer each and keep their connections: the process keeps what it has written. */
final class KeptAnswers extends Case {

	private static final int CLIENTS = Integer.getInteger("clients", 56);

	private static final int ANSWER_BYTES = Integer.getInteger("bytes", 1_000_000);

	private static final long PAUSE_MILLIS = Long.getLong("pause", 100);

	public static void main(String[] arguments) {
		run(Path.of(arguments[0]), new KeptAnswers());
	}

	@Override
	String play(Fleet fleet, Record record) throws Exception {
		byte[] body = new byte[ANSWER_BYTES];
		for (int count = 0; count < 3; count++) {
			fleet.addRunner("app").behaviour = (request, socket) -> Runner.plain(request, socket, body);
			fleet.addRunner("llm");
		}
		fleet.publish(7, Fleet.routes(), Fleet.TENANTS);
		Fleet.Entry entry = fleet.start("edge-1");
		fleet.awaitReady(entry);
		Thread.sleep(2_000);
		List<Socket> kept = new ArrayList<>();
		int whole = 0;
		for (int count = 0; count < CLIENTS && entry.process.isAlive(); count++) {
			String id = Traffic.id("kept");
			record.line("send " + id);
			try {
				Socket socket = new Socket();
				String[] parts = entry.front.split(":");
				socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
				socket.setSoTimeout(4_000);
				socket.getOutputStream().write(Fleet.bytes(Client.head("GET", "/read/x", id, 3_000, Fleet.KEY, "", -1)));
				DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
				String status = Http.line(in);
				Map<String, String> headers = new HashMap<>();
				Http.readHeaders(in, headers);
				int length = Http.body(in, headers, false).length;
				whole += (length == ANSWER_BYTES) ? 1 : 0;
				record.line("answer " + id + " " + status + " bytes=" + length);
				if (TROUBLE) {
					kept.add(socket);
				}
				else {
					socket.close();
				}
			}
			catch (Exception ex) {
				record.line("answer " + id + " " + ex);
			}
			Thread.sleep(PAUSE_MILLIS);
		}
		Thread.sleep(1_000);
		System.out.println("whole answers " + whole + " of " + CLIENTS + ", connections kept " + kept.size());
		return entry.process.isAlive() ? "" : "the process ended by itself with code " + entry.process.exitValue();
	}

}
