package org.marjoramgw.ctl.internal;

import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.operator.WhereReport;

/**
 * Text of a report on where a request would go.
 *
 * @author The marjoramgw authors
 */
public final class WhereText {

	private WhereText() {
	}

	/**
	 * Formats a report.
	 * @param report the report
	 * @return what is decided on the request, then a table of the servers
	 */
	public static String of(WhereReport report) {
		List<String> lines = new ArrayList<>();
		lines.add("process: " + report.process() + ", configuration version " + report.configVersion() + ", "
				+ ((report.configAgeMs() < 0) ? "never confirmed" : "confirmed " + report.configAgeMs() + " ms ago"));
		if (report.match() != null) {
			lines.add(match(report.match()));
		}
		if (report.refusal() != null) {
			lines.add("refused: E" + report.refusal().code() + " " + report.refusal().text() + ", status "
					+ report.refusal().status() + (report.refusal().detail().isEmpty() ? "" : ": ")
					+ report.refusal().detail());
		}
		if (report.choice() != null) {
			lines.add("server: " + report.choice().server() + " by " + report.choice().rule());
		}
		addWait(lines, "turn in this process", report.turn());
		addWait(lines, "permit of the server", report.permit());
		if (!report.servers().isEmpty()) {
			lines.add(servers(report.servers()));
		}
		if (report.serverCount() > report.servers().size()) {
			lines.add(report.servers().size() + " of " + report.serverCount() + " servers are listed");
		}
		return String.join("\n", lines);
	}

	private static String match(WhereReport.Match match) {
		String account = match.account().isEmpty() ? "none" : match.account();
		return "route: " + match.route() + ", account " + account + ", rank " + match.rank()
				+ (match.service().isEmpty() ? "" : ", service " + match.service() + " of " + match.weights());
	}

	private static void addWait(List<String> lines, String name, WhereReport.Wait wait) {
		if (wait != null) {
			String limit = (wait.maxWaitMs() < 0) ? "" : ", for at most " + wait.maxWaitMs() + " ms";
			lines.add(name + ": " + (wait.waits() ? "waits behind " + wait.before() + " requests" + limit : "at once"));
		}
	}

	private static String servers(List<WhereReport.Server> servers) {
		TextTable table = new TextTable(Messages.WHERE_HEADINGS);
		servers.forEach((server) -> table.add(server.id(), server.failureDomain(), choice(server),
				server.obstacle().isEmpty() ? "-" : server.obstacle(), server.suspect() ? "yes" : "no", server.load(),
				server.prefillCount(), server.waitingCount(),
				server.estimates().isEmpty() ? "-" : server.estimates().toString()));
		return table.toString();
	}

	private static String choice(WhereReport.Server server) {
		if (server.chosen()) {
			return "chosen";
		}
		return server.candidate() ? "candidate" : "-";
	}

}
