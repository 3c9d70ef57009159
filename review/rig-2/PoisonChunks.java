import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A part of a prompt crashes each runner that begins to write an answer on it. The
 * beginning of the first event comes in two chunks, and the quarantine takes that for an
 * answer.
 */
final class PoisonChunks extends Case {

	private static final String POISON = "bad0beef";

	private static final int CHUNKS = Integer.getInteger("chunks", 2);

	private static final double SOUND_PER_SECOND = Double.parseDouble(System.getProperty("sound", "11"));

	private static final double POISON_PER_SECOND = Double.parseDouble(System.getProperty("poison", "1"));

	private static final long LENGTH_MILLIS = 40_000;

	private static final long CONTACT_MILLIS = 3_000;

	private static final long BACK_MILLIS = 4_000;

	private final List<Long> crashMillis = new ArrayList<>();

	private final List<Long> reachedMillis = new ArrayList<>();

	private final AtomicInteger down = new AtomicInteger();

	public static void main(String[] arguments) {
		run(Path.of(arguments[0]), new PoisonChunks());
	}

	@Override
	String play(Fleet fleet, Record record) throws Exception {
		for (int count = 0; count < 6; count++) {
			addModel(fleet, record);
		}
		fleet.publish(7, Fleet.routes(), Fleet.TENANTS);
		List<Fleet.Entry> entries = List.of(fleet.start("edge-1"), fleet.start("edge-2"));
		for (Fleet.Entry entry : entries) {
			fleet.awaitReady(entry);
		}
		Thread.sleep(2_000);
		Traffic sound = new Traffic(record);
		Traffic poison = new Traffic(record);
		for (Fleet.Entry entry : entries) {
			Traffic.pace(SOUND_PER_SECOND, LENGTH_MILLIS, () -> sound.stream(entry, "/chat/x", Fleet.KEY, 8_000, 1_000_000));
			Traffic.pace(POISON_PER_SECOND, LENGTH_MILLIS, () -> poison.prompt(entry, "/chat/x", Fleet.KEY, 8_000, POISON));
		}
		Thread.sleep(LENGTH_MILLIS + 9_000);
		long fifth = (this.crashMillis.size() >= 5) ? this.crashMillis.get(4) : Long.MAX_VALUE / 2;
		long late = this.reachedMillis.stream().filter((millis) -> millis > fifth + CONTACT_MILLIS).count();
		String result = "crashes " + this.crashMillis.size() + ", requests with the part that reached runners "
				+ this.reachedMillis.size() + ", of these later than contactMs after the fifth crash " + late
				+ " | sound " + sound;
		record.line(result);
		System.out.println(result);
		return (TROUBLE && late > 3) ? late + " requests with the part reached runners later than " + CONTACT_MILLIS
				+ " ms after the fifth crash" : "";
	}

	private void addModel(Fleet fleet, Record record) throws IOException {
		Runner runner = fleet.addRunner("llm");
		runner.behaviour = (request, socket) -> answer(fleet, record, runner, request, socket);
	}

	private boolean answer(Fleet fleet, Record record, Runner runner, Http.Request request, Socket socket)
			throws Exception {
		boolean poisoned = request.header("x-prompt-prefix").contains(POISON);
		if (poisoned) {
			synchronized (this) {
				this.reachedMillis.add(System.nanoTime() / 1_000_000);
			}
			record.line("reached at=" + runner.id + " id=" + request.header("x-request-id"));
		}
		OutputStream out = socket.getOutputStream();
		Thread.sleep(50);
		out.write(Fleet.bytes(
				Runner.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
		if (poisoned && TROUBLE) {
			chunk(out, "id: 1\n");
			if (CHUNKS == 2) {
				chunk(out, "data: aa");
			}
			Thread.sleep(20);
			crash(fleet, record, runner);
			return false;
		}
		for (int count = 1; count <= 10; count++) {
			chunk(out, "id: " + count + "\ndata: " + "x".repeat(40) + "\n\n");
			Thread.sleep(30);
		}
		out.write(Fleet.bytes("0\r\n\r\n"));
		out.flush();
		return true;
	}

	private static void chunk(OutputStream out, String text) throws IOException {
		out.write(Fleet.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
		out.flush();
	}

	private void crash(Fleet fleet, Record record, Runner runner) throws IOException {
		synchronized (this) {
			if (runner.server.isClosed()) {
				return;
			}
			this.crashMillis.add(System.nanoTime() / 1_000_000);
		}
		record.line("crash of " + runner.id);
		runner.crash();
		Http.thread(() -> {
			Thread.sleep(3_600);
			fleet.store.put("keyed.servers", runner.id, null);
		});
		Http.thread(() -> {
			Thread.sleep(BACK_MILLIS);
			addModel(fleet, record);
		});
	}

}
