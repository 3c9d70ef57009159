package org.marjoramgw.ctl.internal;

import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.operator.ProcessReport;
import org.marjoramgw.vmlist.Vm;

/**
 * State of every process, with warnings.
 *
 * @param newestRevision newest revision known from the log or any process
 * @param processes the processes in the order of the VM list
 * @param warnings what operators should look at
 * @author The marjoramgw authors
 */
public record StatusReport(long newestRevision, List<ProcessState> processes, List<String> warnings) {

	/**
	 * Creates a report from the processes' answers.
	 * @param logRevision newest revision on the log, 0 if it isn't known
	 * @param answers one answer for each VM
	 * @return the report
	 */
	public static StatusReport of(long logRevision, List<ProcessResponse<ProcessReport>> answers) {
		long newest = answers.stream()
			.filter(ProcessResponse::isSuccessful)
			.mapToLong((answer) -> answer.value().status().configRevision())
			.reduce(logRevision, Math::max);
		List<String> warnings = new ArrayList<>();
		answers.forEach((answer) -> addWarnings(answer, newest, warnings));
		return new StatusReport(newest, answers.stream().map(ProcessState::of).toList(), warnings);
	}

	/**
	 * Writes the report for people.
	 * @return a table without the warnings
	 */
	public String toText() {
		TextTable table = new TextTable(Messages.STATUS_HEADINGS);
		this.processes.forEach((state) -> state.addTo(table));
		return Messages.newestRevision(this.newestRevision) + "\n" + table;
	}

	private static void addWarnings(ProcessResponse<ProcessReport> answer, long newest, List<String> warnings) {
		Vm vm = answer.vm();
		if (!answer.isSuccessful()) {
			warnings.add(Messages.unreachable(vm.id(), vm.failureDomain(), answer.error()));
			return;
		}
		ProcessReport report = answer.value();
		if (report.status().configRevision() < newest) {
			warnings.add(Messages.outdatedRevision(vm.id(), report.status().configRevision(), newest));
		}
		if (!report.identity().failureDomain().equals(vm.failureDomain())) {
			warnings
				.add(Messages.failureDomainMismatch(vm.id(), report.identity().failureDomain(), vm.failureDomain()));
		}
	}

	/**
	 * State of one process.
	 *
	 * @param processId name of the process
	 * @param role {@code entry} or {@code side}
	 * @param failureDomain failure domain
	 * @param reachable whether it answered; the fields below are 0 if not
	 * @param incarnation number that rises with each start
	 * @param configRevision revision in force
	 * @param inFlight requests that run now
	 * @param queued reservations that wait
	 * @param slotLimit present limit of requests in flight
	 * @param leaving whether it takes no new work, by its own word or the VM list's
	 */
	public record ProcessState(String processId, String role, String failureDomain, boolean reachable, long incarnation,
			long configRevision, int inFlight, int queued, int slotLimit, boolean leaving) {

		private static ProcessState of(ProcessResponse<ProcessReport> answer) {
			Vm vm = answer.vm();
			boolean listedLeaving = Vm.LEAVING.equals(vm.state());
			if (!answer.isSuccessful()) {
				return new ProcessState(vm.id(), vm.role(), vm.failureDomain(), false, 0, 0, 0, 0, 0, listedLeaving);
			}
			var identity = answer.value().identity();
			var status = answer.value().status();
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
