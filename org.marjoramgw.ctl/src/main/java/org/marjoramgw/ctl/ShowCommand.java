package org.marjoramgw.ctl;

import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.config.Revision;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.PlatformClients;
import org.marjoramgw.ctl.internal.RevisionList;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.program.ExitCode;

/**
 * Prints the configuration text of a revision.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Print the configuration text of a revision, the newest if none is given")
final class ShowCommand extends Command {

	@Parameter(names = "--revision", description = "Revision to print")
	private Long revision;

	ShowCommand() {
		super("show");
	}

	@Override
	public int run(Console console) throws CodedException {
		try (PlatformClients clients = new PlatformClients(options())) {
			RevisionList history = new RevisionList(clients.logService());
			Optional<Revision> found = (this.revision != null) ? history.find(this.revision) : history.newest();
			if (found.isEmpty()) {
				console.error((this.revision != null) ? Messages.revisionNotFound(this.revision)
						: Messages.nothingPublished());
				return ExitCode.FAILURE;
			}
			Revision shown = found.get();
			console.note(Messages.revisionHeader(shown.revision(), shown.operator(), shown.timeMillis()));
			console.result(shown, shown.text().stripTrailing());
			return ExitCode.OK;
		}
	}

}
