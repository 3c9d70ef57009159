package org.marjoramgw.ctl;

import java.util.List;

import com.beust.jcommander.Parameters;
import org.marjoramgw.config.Revision;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.HistoryReport;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.PlatformClients;
import org.marjoramgw.ctl.internal.RevisionList;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.program.ExitCode;

/**
 * Lists the revisions that are retained in the log service.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "List the revisions that the log holds")
final class HistoryCommand extends Command {

	HistoryCommand() {
		super("history");
	}

	@Override
	public int run(Console console) throws CodedException {
		try (PlatformClients clients = new PlatformClients(options())) {
			List<Revision> revisions = new RevisionList(clients.logService()).all();
			HistoryReport report = HistoryReport.of(revisions);
			console.result(report, revisions.isEmpty() ? Messages.nothingPublished() : report.toText());
			return ExitCode.OK;
		}
	}

}
