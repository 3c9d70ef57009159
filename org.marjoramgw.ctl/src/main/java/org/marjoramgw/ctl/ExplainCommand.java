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
 * Tells what every process decided about one request, where and why: from the memory of
 * the processes, or from their logs.
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
		return this.logs.isEmpty() ? askProcesses(console) : searchLogs(console);
	}

	private int searchLogs(Console console) {
		return show(console, new LogSearch(this.logs).explain(this.requestId),
				Messages.requestNotInLogs(this.requestId));
	}

	private int askProcesses(Console console) throws CodedException {
		try (PlatformClients platform = new PlatformClients(options())) {
			ProcessClient processes = platform.processes();
			ExplainReport explanation = ExplainReport.of(this.requestId,
					new Fleet(platform.vmList()).callAll((address) -> processes.explain(address, this.requestId)));
			explanation.unreachable().forEach((id) -> console.warning(Messages.decisionsIncomplete(id)));
			return show(console, explanation, Messages.decisionsNotFound(this.requestId));
		}
	}

	private static int show(Console console, ExplainReport explanation, String nothingFound) {
		if (explanation.steps().isEmpty()) {
			console.error(nothingFound);
			return ExitCode.FAILURE;
		}
		console.result(explanation, explanation.toText());
		return ExitCode.OK;
	}

}
