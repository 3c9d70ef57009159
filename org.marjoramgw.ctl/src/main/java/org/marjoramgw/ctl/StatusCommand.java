package org.marjoramgw.ctl;

import com.beust.jcommander.Parameters;
import org.marjoramgw.config.Revision;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.Fleet;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.PlatformClients;
import org.marjoramgw.ctl.internal.ProcessClient;
import org.marjoramgw.ctl.internal.RevisionList;
import org.marjoramgw.ctl.internal.StatusReport;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.program.ExitCode;

/**
 * Shows the status of every process in the VM list and warns of processes that run an
 * older revision or can't be reached.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Show every process, its revision and its load")
final class StatusCommand extends Command {

	StatusCommand() {
		super("status");
	}

	@Override
	public int run(Console console) throws CodedException {
		try (PlatformClients clients = new PlatformClients(options())) {
			ProcessClient processClient = clients.processClient();
			Fleet fleet = new Fleet(clients.vmList());
			StatusReport report = StatusReport.of(logRevision(clients, console), fleet.callAll(processClient::status));
			console.result(report, report.toText());
			report.warnings().forEach(console::warning);
			return ExitCode.OK;
		}
	}

	private static long logRevision(PlatformClients clients, Console console) {
		try {
			return new RevisionList(clients.logService()).newest().map(Revision::revision).orElse(0L);
		}
		catch (LogUnavailableException ex) {
			console.warning(Messages.logUnavailable(ex.getMessage()));
			return 0;
		}
	}

}
