package org.marjoramgw.ctl;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.marjoramgw.config.Revision;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.ConfigurationFile;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.DiffReport;
import org.marjoramgw.ctl.internal.LineDiff;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.PlatformClients;
import org.marjoramgw.ctl.internal.RevisionList;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.program.ExitCode;

/**
 * Shows the differences between two revisions, or between a revision and a file.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Show what differs between two revisions, or a revision and a file")
final class DiffCommand extends Command {

	private static final String REVISION_PATTERN = "[0-9]{1,18}";

	@Parameter(description = "REVISION REVISION|FILE", required = true)
	private List<String> operands;

	DiffCommand() {
		super("diff");
	}

	@Override
	public int run(Console console) throws CodedException {
		if (this.operands.size() != 2 || !this.operands.get(0).matches(REVISION_PATTERN)) {
			throw new ParameterException(Messages.diffUsage());
		}
		try (PlatformClients clients = new PlatformClients(options())) {
			RevisionList history = new RevisionList(clients.logService());
			Optional<String> before = findText(this.operands.get(0), history, console);
			Optional<String> after = findText(this.operands.get(1), history, console);
			if (before.isEmpty() || after.isEmpty()) {
				return ExitCode.FAILURE;
			}
			List<String> lines = new LineDiff(before.get(), after.get()).lines();
			console.result(new DiffReport(this.operands.get(0), this.operands.get(1), lines),
					lines.isEmpty() ? Messages.noDifference() : String.join("\n", lines));
			return ExitCode.OK;
		}
	}

	private static Optional<String> findText(String operand, RevisionList history, Console console)
			throws CodedException {
		if (!operand.matches(REVISION_PATTERN)) {
			return Optional.of(new ConfigurationFile(Path.of(operand)).read());
		}
		long revision = Long.parseLong(operand);
		Optional<String> text = history.find(revision).map(Revision::text);
		if (text.isEmpty()) {
			console.error(Messages.revisionNotFound(revision));
		}
		return text;
	}

}
