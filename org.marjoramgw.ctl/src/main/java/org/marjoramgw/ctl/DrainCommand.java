package org.marjoramgw.ctl;

import java.util.Optional;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.DrainReport;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.PlatformClients;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.errors.VmListUnavailableException;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.vmlist.Vm;

/**
 * Tells a process to accept no new work, finish the work in progress and stop.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Tell a process to take no new work, finish and stop")
final class DrainCommand extends Command {

	@Parameter(description = "PROCESS_ID", required = true)
	private String processId;

	@Parameter(names = "--address", description = "Operators' address of the process, instead of the VM list's")
	private String address;

	DrainCommand() {
		super("drain");
	}

	@Override
	public int run(Console console) throws CodedException {
		try (PlatformClients clients = new PlatformClients(options())) {
			Optional<String> operatorAddress = findAddress(clients);
			if (operatorAddress.isEmpty()) {
				console.error(Messages.processNotFound(this.processId));
				return ExitCode.FAILURE;
			}
			clients.processClient().drain(operatorAddress.get());
			console.result(new DrainReport(this.processId, true), Messages.draining(this.processId));
			return ExitCode.OK;
		}
	}

	private Optional<String> findAddress(PlatformClients clients) throws VmListUnavailableException {
		if (this.address != null) {
			return Optional.of(this.address);
		}
		return clients.vmList()
			.read()
			.stream()
			.filter((vm) -> vm.id().equals(this.processId))
			.map(Vm::operatorAddress)
			.findFirst();
	}

}
