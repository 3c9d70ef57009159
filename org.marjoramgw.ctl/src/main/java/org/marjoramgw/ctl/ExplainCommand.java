package org.marjoramgw.ctl;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.ExplainReport;
import org.marjoramgw.ctl.internal.Fleet;
import org.marjoramgw.ctl.internal.LogSearch;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.PlatformClients;
import org.marjoramgw.ctl.internal.ProcessClient;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.program.ExitCode;

/**
 * Shows the decisions of every process about one request, with time and reason. They are
 * read from the memory of the processes or from their log files.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Tell what was decided about a request, where and why")
final class ExplainCommand extends Command {

	@Parameter(description = "REQUEST_ID", required = true)
	private String requestId;

	@Parameter(names = "--logs", description = "Read these logs in place of asking the processes, one file a process")
	private List<Path> logs = new ArrayList<>();

	ExplainCommand() {
		super("explain");
	}

	@Override
	public int run(Console console) throws CodedException {
		return this.logs.isEmpty() ? queryProcesses(console) : searchLogs(console);
	}

	private int searchLogs(Console console) {
		return print(console, new LogSearch(this.logs).explain(this.requestId),
				Messages.requestNotInLogs(this.requestId));
	}

	private int queryProcesses(Console console) throws CodedException {
		try (PlatformClients clients = new PlatformClients(options())) {
			ProcessClient processClient = clients.processClient();
			ExplainReport report = ExplainReport.of(this.requestId,
					new Fleet(clients.vmList()).callAll((address) -> processClient.explain(address, this.requestId)));
			report.unreachable().forEach((id) -> console.warning(Messages.decisionsIncomplete(id)));
			return print(console, report, Messages.decisionsNotFound(this.requestId));
		}
	}

	private static int print(Console console, ExplainReport report, String notFoundMessage) {
		if (report.steps().isEmpty()) {
			console.error(notFoundMessage);
			return ExitCode.FAILURE;
		}
		console.result(report, report.toText());
		return ExitCode.OK;
	}

}
