import java.nio.file.Path;

/**
 * Some clients send a User-Agent that the HTTP library can't parse. Their requests are
 * never sent to a server, and those of all other clients of the process wait behind them.
 */
final class OddAgent extends Case {

	private static final long LENGTH_MILLIS = 20_000;

	private static final double ODD_PER_SECOND = Double.parseDouble(System.getProperty("rate", "20"));

	public static void main(String[] arguments) {
		run(Path.of(arguments[0]), new OddAgent());
	}

	@Override
	String play(Fleet fleet, Record record) throws Exception {
		for (int count = 0; count < 3; count++) {
			fleet.addRunner("app");
			fleet.addRunner("llm");
		}
		fleet.publish(7, Fleet.routes(), Fleet.TENANTS);
		Fleet.Entry entry = fleet.start("edge-1");
		fleet.awaitReady(entry);
		Thread.sleep(2_000);
		Traffic single = new Traffic(record);
		String agent = TROUBLE ? "User-Agent:\r\n" : "User-Agent: client/1.0\r\n";
		for (int count = 0; count < 4; count++) {
			single.plain(entry, "GET", "/read/x", Fleet.KEY_2, agent, 3_000);
		}
		record.line("alone, in calm: " + single);
		Thread.sleep(1_000);
		Traffic odd = new Traffic(record);
		Traffic ordinary = new Traffic(record);
		Traffic.pace(ODD_PER_SECOND, LENGTH_MILLIS,
				() -> odd.plain(entry, "GET", "/read/x", Fleet.KEY_2, agent, 3_000));
		Traffic.pace(20, LENGTH_MILLIS,
				() -> ordinary.plain(entry, "GET", "/read/x", Fleet.KEY, "User-Agent: client/1.0\r\n", 3_000));
		Thread.sleep(LENGTH_MILLIS + 5_000);
		record.line("alone: " + single + " | such clients: " + odd + " | ordinary clients: " + ordinary);
		System.out.println("alone: " + single + " | such clients: " + odd + " | ordinary clients: " + ordinary);
		int all = odd.sent.get() + ordinary.sent.get();
		int served = odd.served.get() + ordinary.served.get();
		String broken = "";
		if (odd.served.get() * 4L * all < (long) served * odd.sent.get()) {
			broken = "tenant fida11 is served less than a quarter as often as all; ";
		}
		if (single.served.get() == 0) {
			broken += "single requests inside the limits are not served in calm; ";
		}
		return broken;
	}

}
