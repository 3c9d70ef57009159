package org.marjoramgw.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.Explanation;
import org.marjoramgw.ctl.internal.Fleet;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.Platform;
import org.marjoramgw.ctl.internal.ProcessClient;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.program.ExitCode;

/**
 * Tells what every process decided about one request, where and why.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Tell what was decided about a request, where and why")
final class ExplainCommand extends Command {

	@Parameter(description = "REQUEST_ID", required = true)
	private String requestId;

	ExplainCommand() {
		super("explain");
	}

	@Override
	public int run(Console console) throws CodedException {
		try (Platform platform = new Platform(options())) {
			ProcessClient processes = platform.processes();
			Explanation explanation = Explanation.of(this.requestId,
					new Fleet(platform.vmList()).ask((address) -> processes.explain(address, this.requestId)));
			explanation.unreachable().forEach((id) -> console.warning(Messages.notAsked(id)));
			if (explanation.steps().isEmpty()) {
				console.error(Messages.noDecisions(this.requestId));
				return ExitCode.FAILURE;
			}
			console.result(explanation, explanation.toText());
			return ExitCode.OK;
		}
	}

}
