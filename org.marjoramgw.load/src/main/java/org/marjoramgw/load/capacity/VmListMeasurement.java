package org.marjoramgw.load.capacity;

import java.io.IOException;

import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.RigException;
import org.marjoramgw.vmlist.Vm;

/**
 * Measures the resource usage of an idle entry as a function of the length of the VM
 * list.
 *
 * @author The marjoramgw authors
 */
final class VmListMeasurement implements Measurement {

	private static final int[] VM_COUNTS = { 10, 100, 300, 990 };

	private static final long WARM_UP_MILLIS = 30_000;

	private static final long SETTLE_MILLIS = 1_500;

	private final MeasurementContext context;

	private final long windowMillis;

	VmListMeasurement(MeasurementContext run, long windowMillis) {
		this.context = run;
		this.windowMillis = windowMillis;
	}

	@Override
	public String title() {
		return "Entry against the length of the VM list, idle, without peers";
	}

	@Override
	public String measure() throws IOException, RigException, InterruptedException {
		TrafficCounter trafficCounter = this.context.newTrafficCounter();
		PointTable table = new PointTable("VMs", "all bytes/s", "CPU %", "RSS MB");
		try (Deployment deployment = this.context.startEntry(24)) {
			ProcessMeter meter = new ProcessMeter(deployment.entry(MeasurementContext.ENTRY_ID).pid());
			int listedCount = 1;
			Thread.sleep(WARM_UP_MILLIS);
			for (int vmCount : VM_COUNTS) {
				for (; listedCount < vmCount; listedCount++) {
					deployment.standins().putVm(newVm(listedCount));
				}
				Thread.sleep(SETTLE_MILLIS);
				ResourceUsage usage = ResourceUsage.measure(meter, trafficCounter, this.windowMillis);
				table.add(vmCount, usage.ioBytesPerSecond(), usage.cpuPercent(), usage.residentMegabytes());
			}
		}
		return table.toString();
	}

	private static Vm newVm(int number) {
		return new Vm("entry-vm-" + number, Vm.ENTRY, "dal-b", "", "", "127.0.0.1:1", Vm.LIVE);
	}

}
