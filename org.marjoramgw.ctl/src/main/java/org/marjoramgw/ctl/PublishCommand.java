package org.marjoramgw.ctl;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.config.ConfigurationPublisher;
import org.marjoramgw.config.PublishResult;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.ConfigurationFile;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.PlatformClients;
import org.marjoramgw.ctl.internal.PublishReport;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.program.ExitCode;

/**
 * Publishes a configuration text as the next revision. The operator states the revision
 * that the text was edited from, so that a concurrent publication is detected.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Check a configuration text and publish it as the next revision")
final class PublishCommand extends Command {

	private static final long TIMEOUT_MILLIS = 20_000;

	@Parameter(description = "FILE", required = true)
	private String file;

	@Parameter(names = "--base", required = true,
			description = "Revision that the text was edited from, 0 for the first one")
	private long baseRevision;

	PublishCommand() {
		super("publish");
	}

	@Override
	public int run(Console console) throws CodedException {
		String text = new ConfigurationFile(Path.of(this.file)).readValidated();
		try (PlatformClients clients = new PlatformClients(options())) {
			ConfigurationPublisher publisher = new ConfigurationPublisher(clients.logService(), new SystemMillisClock(),
					TIMEOUT_MILLIS);
			PublishResult result = publisher.publish(text, this.baseRevision, clients.settings().operator());
			return report(result, console);
		}
	}

	private int report(PublishResult result, Console console) {
		if (result instanceof PublishResult.Accepted accepted) {
			PublishReport report = PublishReport.accepted(this.baseRevision, accepted.revision());
			console.result(report, Messages.published(accepted.revision()));
			return ExitCode.OK;
		}
		if (result instanceof PublishResult.Conflict conflict) {
			PublishReport report = PublishReport.conflict(this.baseRevision, conflict.revision(), conflict.operator());
			console.failure(report, Messages.conflict(this.baseRevision, conflict.revision(), conflict.operator()));
			return ExitCode.FAILURE;
		}
		console.failure(PublishReport.unknown(this.baseRevision), Messages.publishUnknown());
		return ExitCode.FAILURE;
	}

}
