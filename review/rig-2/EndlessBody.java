import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * One of three runners of a pool sends its events without end. The entry processes fill
 * their heaps with what they have read from it, and answer nothing in time any more, not
 * even requests of the other service.
 */
final class EndlessBody extends Case {

	private static final double STREAMS_PER_SECOND = 28;

	private static final long TROUBLE_MILLIS = 5_500;

	private static final int CLIENT_BYTES_PER_SECOND = 1_000_000;

	/** Late answers from which on the rule of the timeouts is applied. */
	private static final int MIN_LATE = 8;

	private static final byte[] EVENT = Fleet.bytes("data: " + "x".repeat(47) + "\n\n");

	public static void main(String[] arguments) {
		run(Path.of(arguments[0]), new EndlessBody());
	}

	private volatile boolean troubleNow;

	@Override
	String play(Fleet fleet, Record record) throws Exception {
		List<Runner> models = new ArrayList<>();
		for (int count = 0; count < 3; count++) {
			fleet.addRunner("app");
			models.add(fleet.addRunner("llm"));
		}
		Runner troubled = models.get(0);
		models.forEach((runner) -> runner.behaviour = (request, socket) -> stream(socket, request,
				() -> runner == troubled && this.troubleNow));
		fleet.publish(7, Fleet.routes(), Fleet.TENANTS);
		List<Fleet.Entry> entries = List.of(fleet.start("edge-1"), fleet.start("edge-2"));
		for (Fleet.Entry entry : entries) {
			fleet.awaitReady(entry);
		}
		Traffic streams = new Traffic(record);
		Traffic reads = new Traffic(record);
		long lengthMillis = 4_000 + TROUBLE_MILLIS + 8_000;
		for (Fleet.Entry entry : entries) {
			Traffic.pace(STREAMS_PER_SECOND, lengthMillis,
					() -> streams.stream(entry, "/chat/x", Fleet.KEY, 8_000, CLIENT_BYTES_PER_SECOND));
			Traffic.pace(5, lengthMillis, () -> reads.plain(entry, "GET", "/read/x", Fleet.KEY, "", 3_000));
			Traffic.pace(5, lengthMillis, () -> reads.plain(entry, "POST", "/order/x", Fleet.KEY, "", 3_000));
		}
		Thread.sleep(4_000);
		if (TROUBLE) {
			record.line("trouble begins at " + troubled.id);
			this.troubleNow = true;
		}
		Thread.sleep(TROUBLE_MILLIS);
		this.troubleNow = false;
		record.line("trouble ends: new requests are answered soundly");
		Thread.sleep(lengthMillis - 4_000 - TROUBLE_MILLIS + 4_000);
		record.line("streams " + streams + " plain " + reads);
		System.out.println("streams " + streams + " plain " + reads);
		String ended = "";
		for (Fleet.Entry entry : entries) {
			if (!entry.process.isAlive()) {
				ended += entry.name + " ended by itself with code " + entry.process.exitValue() + " ";
			}
		}
		if (reads.late.get() >= MIN_LATE && reads.late.get() * 2 > reads.unanswered.get()) {
			ended += "of " + reads.unanswered + " orders and reads that were unanswered at their timeout, " + reads.late
					+ " had no answer half a second later";
		}
		return ended;
	}

	/** Writes 24 events, or events without end if the trouble comes meanwhile. */
	private static boolean stream(Socket socket, Http.Request request, BooleanSupplier trouble) throws Exception {
		OutputStream out = head(request, socket);
		for (int count = 0; count < 24; count++) {
			Thread.sleep(100);
			event(out);
			out.flush();
			while (trouble.getAsBoolean()) {
				event(out);
			}
		}
		out.write(Fleet.bytes("0\r\n\r\n"));
		out.flush();
		return true;
	}

	private static OutputStream head(Http.Request request, Socket socket) throws IOException {
		OutputStream out = new java.io.BufferedOutputStream(socket.getOutputStream(), 16 << 10);
		out.write(Fleet.bytes(Runner.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
		out.flush();
		return out;
	}

	private static void event(OutputStream out) throws IOException {
		out.write(Fleet.bytes(Integer.toHexString(EVENT.length) + "\r\n"));
		out.write(EVENT);
		out.write(Fleet.bytes("\r\n"));
	}

}
