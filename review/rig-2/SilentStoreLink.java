import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The open connections to the store go silent while new ones work. The entry process
 * notices that for the list of runners only after contactMs, and meanwhile goes on
 * sending to a runner that leaves.
 */
final class SilentStoreLink extends Case {

	private static final long CONTACT_MILLIS = 3_000;

	private static final long DRAIN_MILLIS = 2_000;

	/** How long the leaving runner goes on serving: drainMs and a little longer. */
	private static final long SERVED_MILLIS = DRAIN_MILLIS + 750;

	private static final long WORK_MILLIS = 300;

	private final List<Long> runMillis = new ArrayList<>();

	private volatile boolean leaving;

	public static void main(String[] arguments) {
		run(Path.of(arguments[0]), new SilentStoreLink());
	}

	@Override
	String play(Fleet fleet, Record record) throws Exception {
		Proxy proxy = new Proxy(fleet.store.address());
		fleet.storeAddress = proxy.address();
		List<Runner> runners = List.of(fleet.addRunner("app"), fleet.addRunner("app"), fleet.addRunner("app"));
		fleet.addRunner("llm");
		Runner leaver = runners.get(0);
		leaver.behaviour = this::answer;
		fleet.publish(7, Fleet.routes() + "," + Fleet.route("r-open", "/open/", "non_idempotent", 3000, 386, 1, "app", false)
			.replace("\"anonymous\":false", "\"anonymous\":true"), Fleet.TENANTS);
		Fleet.Entry entry = fleet.start("edge-1");
		fleet.awaitReady(entry);
		Traffic traffic = new Traffic(record);
		volley(traffic, entry);
		Thread.sleep(5_000);
		fleet.store.awaitRead("keyed.servers");
		Thread.sleep(100);
		long silentMillis = now();
		if (TROUBLE) {
			record.line("open connections to the store go silent: " + proxy.silence());
		}
		Thread.sleep(600);
		this.leaving = true;
		fleet.store.put("keyed.servers", leaver.id, leaver.entry("draining", leaver.bornMillis));
		long leavingMillis = now();
		record.line("acknowledged: " + leaver.id + " is draining");
		Http.thread(() -> {
			Thread.sleep(SERVED_MILLIS);
			record.line(leaver.id + " exits");
			leaver.crash();
			fleet.store.put("keyed.servers", leaver.id, null);
		});
		Thread.sleep(Math.max(0, silentMillis + CONTACT_MILLIS + 150 - now()));
		record.line("the machine is in touch again, and drainMs is over");
		volley(traffic, entry);
		Thread.sleep(4_000);
		long from = Math.max(leavingMillis + DRAIN_MILLIS, silentMillis + CONTACT_MILLIS + 50);
		long late = this.runMillis.stream().filter((millis) -> millis > from).count();
		String result = "requests that reached the draining runner later than drainMs after the acknowledgement: " + late
				+ ", the last one " + ((late > 0) ? this.runMillis.get(this.runMillis.size() - 1) - leavingMillis : 0)
				+ " ms after it | " + traffic;
		record.line(result);
		System.out.println(result);
		return (late > 0) ? late + " requests reached the draining runner too late, " + traffic.failed + " were lost with it"
				: "";
	}

	private static long now() {
		return System.nanoTime() / 1_000_000;
	}

	/** Clients come in groups, as after a timer. */
	private static void volley(Traffic traffic, Fleet.Entry entry) throws Exception {
		for (int count = 0; count < 12; count++) {
			Http.thread(() -> traffic.plain(entry, "POST", "/open/x", Fleet.KEY, "", 3_000));
			Thread.sleep(2);
		}
	}

	private boolean answer(Http.Request request, Socket socket) throws Exception {
		synchronized (this) {
			this.runMillis.add(now());
		}
		Thread.sleep(WORK_MILLIS);
		OutputStream out = socket.getOutputStream();
		out.write(Fleet.bytes(Runner.head(request,
				"Content-Length: 2\r\n" + (this.leaving ? "Server-Leaving: 1\r\nConnection: close\r\n" : "")) + "ok"));
		out.flush();
		return !this.leaving;
	}

}
