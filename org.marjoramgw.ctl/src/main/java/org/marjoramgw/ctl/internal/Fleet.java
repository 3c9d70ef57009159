package org.marjoramgw.ctl.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.marjoramgw.errors.VmListUnavailableException;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.vmlist.VmList;

/**
 * Calls all processes in the VM list in parallel.
 *
 * @author The marjoramgw authors
 */
public final class Fleet {

	private static final int MAX_PARALLEL_CALLS = 64;

	private final VmList vmList;

	/**
	 * Creates a fleet of the processes in a VM list.
	 * @param vmList the VM list
	 */
	public Fleet(VmList vmList) {
		this.vmList = vmList;
	}

	/**
	 * Makes the same call to each process.
	 * @param <T> type of the result
	 * @param processCall the call
	 * @return one response for each VM, in the order of the list
	 * @throws VmListUnavailableException if the VM list can't be read
	 */
	public <T> List<ProcessResponse<T>> callAll(ProcessCall<T> processCall) throws VmListUnavailableException {
		List<Vm> vms = this.vmList.read();
		ExecutorService executor = Executors.newFixedThreadPool(MAX_PARALLEL_CALLS);
		try {
			List<Future<ProcessResponse<T>>> futures = new ArrayList<>();
			vms.forEach((vm) -> futures.add(executor.submit(() -> callOne(vm, processCall))));
			List<ProcessResponse<T>> responses = new ArrayList<>();
			for (Future<ProcessResponse<T>> future : futures) {
				responses.add(future.get());
			}
			return responses;
		}
		catch (InterruptedException | ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
		finally {
			executor.shutdownNow();
		}
	}

	private static <T> ProcessResponse<T> callOne(Vm vm, ProcessCall<T> processCall) {
		try {
			return new ProcessResponse<>(vm, processCall.call(vm.operatorAddress()), "");
		}
		catch (ProcessUnreachableException ex) {
			return new ProcessResponse<>(vm, null, ex.getMessage());
		}
	}

	/**
	 * Call to one process.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	public interface ProcessCall<T> {

		/**
		 * Calls the process.
		 * @param operatorAddress address of the operators' endpoint of the process
		 * @return the result
		 * @throws ProcessUnreachableException if it sent no usable response
		 */
		T call(String operatorAddress) throws ProcessUnreachableException;

	}

}
