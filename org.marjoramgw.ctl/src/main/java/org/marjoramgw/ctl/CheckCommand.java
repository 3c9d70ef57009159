package org.marjoramgw.ctl;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.ctl.internal.CheckReport;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.ConfigurationFile;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.program.ExitCode;

/**
 * Validates a configuration file without publishing it.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Check a configuration text and name every mistake in it")
final class CheckCommand extends Command {

	@Parameter(description = "FILE", required = true)
	private String file;

	CheckCommand() {
		super("check");
	}

	@Override
	public int run(Console console) throws InvalidTomlException {
		new ConfigurationFile(Path.of(this.file)).readValidated();
		console.result(new CheckReport(List.of()), Messages.valid(this.file));
		return ExitCode.OK;
	}

}
