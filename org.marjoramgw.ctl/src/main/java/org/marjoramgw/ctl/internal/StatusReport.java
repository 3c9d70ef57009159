package org.marjoramgw.ctl.internal;

import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.operator.ProcessReport;
import org.marjoramgw.vmlist.Vm;

/**
 * Status of every process in the VM list, with warnings.
 *
 * @param newestRevision newest revision found in the log or reported by a process
 * @param processes status of the processes, in the order of the VM list
 * @param warnings conditions that need an operator's attention
 * @author The marjoramgw authors
 */
public record StatusReport(long newestRevision, List<ProcessState> processes, List<String> warnings) {

	/**
	 * Creates a report from the responses of the processes.
	 * @param logRevision newest revision in the log, or 0 if it isn't known
	 * @param responses one response for each VM
	 * @return the report
	 */
	public static StatusReport of(long logRevision, List<ProcessResponse<ProcessReport>> responses) {
		long newest = responses.stream()
			.filter(ProcessResponse::isSuccessful)
			.mapToLong((response) -> response.value().status().configRevision())
			.reduce(logRevision, Math::max);
		List<String> warnings = new ArrayList<>();
		responses.forEach((response) -> addWarnings(response, newest, warnings));
		return new StatusReport(newest, responses.stream().map(ProcessState::of).toList(), warnings);
	}

	/**
	 * Formats the report as text.
	 * @return the newest revision and a table of the processes, without the warnings
	 */
	public String toText() {
		TextTable table = new TextTable(Messages.STATUS_HEADINGS);
		this.processes.forEach((state) -> state.addTo(table));
		return Messages.newestRevision(this.newestRevision) + "\n" + table;
	}

	private static void addWarnings(ProcessResponse<ProcessReport> response, long newest, List<String> warnings) {
		Vm vm = response.vm();
		if (!response.isSuccessful()) {
			warnings.add(Messages.unreachable(vm.id(), vm.failureDomain(), response.error()));
			return;
		}
		ProcessReport report = response.value();
		if (report.status().configRevision() < newest) {
			warnings.add(Messages.outdatedRevision(vm.id(), report.status().configRevision(), newest));
		}
		if (!report.identity().failureDomain().equals(vm.failureDomain())) {
			warnings
				.add(Messages.failureDomainMismatch(vm.id(), report.identity().failureDomain(), vm.failureDomain()));
		}
	}

	/**
	 * Status of one process.
	 *
	 * @param processId id of the process
	 * @param role {@code entry} or {@code side}
	 * @param failureDomain failure domain that the process reports, or that of the VM
	 * list if it is unreachable
	 * @param reachable whether the process responded; if not, the numbers below are 0
	 * @param incarnation number that increases with each start of the process
	 * @param configRevision revision in force
	 * @param inFlight number of requests in flight
	 * @param queued number of queued reservations
	 * @param slotLimit current limit of requests in flight
	 * @param leaving whether the process accepts no new work, according to the process
	 * itself or the VM list
	 */
	public record ProcessState(String processId, String role, String failureDomain, boolean reachable, long incarnation,
			long configRevision, int inFlight, int queued, int slotLimit, boolean leaving) {

		private static ProcessState of(ProcessResponse<ProcessReport> response) {
			Vm vm = response.vm();
			boolean listedLeaving = Vm.LEAVING.equals(vm.state());
			if (!response.isSuccessful()) {
				return new ProcessState(vm.id(), vm.role(), vm.failureDomain(), false, 0, 0, 0, 0, 0, listedLeaving);
			}
			var identity = response.value().identity();
			var status = response.value().status();
			return new ProcessState(vm.id(), vm.role(), identity.failureDomain(), true, identity.incarnation(),
					status.configRevision(), status.inFlight(), status.queued(), status.slotLimit(),
					status.leaving() || listedLeaving);
		}

		private void addTo(TextTable table) {
			if (!this.reachable) {
				table.add(this.processId, this.role, this.failureDomain, "-", "-", "-", "-", "-", Messages.NOT_REACHED);
				return;
			}
			table.add(this.processId, this.role, this.failureDomain, this.incarnation, this.configRevision,
					this.inFlight, this.queued, this.slotLimit, this.leaving ? Messages.LEAVING : Messages.LIVE);
		}

	}

}
