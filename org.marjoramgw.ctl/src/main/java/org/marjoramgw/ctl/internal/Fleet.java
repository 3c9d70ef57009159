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
 * All processes of the VM list, asked side by side.
 *
 * @author The marjoramgw authors
 */
public final class Fleet {

	private static final int MAX_PARALLEL_CALLS = 64;

	private final VmList vmList;

	/**
	 * Creates a fleet.
	 * @param vmList the VM list
	 */
	public Fleet(VmList vmList) {
		this.vmList = vmList;
	}

	/**
	 * Asks each process the same question.
	 * @param <T> what each answers
	 * @param question the question
	 * @return one answer for each VM, in the order of the list
	 * @throws VmListUnavailableException if the VM list can't be read
	 */
	public <T> List<ProcessResponse<T>> callAll(ProcessCall<T> question) throws VmListUnavailableException {
		List<Vm> vms = this.vmList.read();
		ExecutorService threads = Executors.newFixedThreadPool(MAX_PARALLEL_CALLS);
		try {
			List<Future<ProcessResponse<T>>> calls = new ArrayList<>();
			vms.forEach((vm) -> calls.add(threads.submit(() -> callOne(vm, question))));
			List<ProcessResponse<T>> answers = new ArrayList<>();
			for (Future<ProcessResponse<T>> call : calls) {
				answers.add(call.get());
			}
			return answers;
		}
		catch (InterruptedException | ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
		finally {
			threads.shutdownNow();
		}
	}

	private static <T> ProcessResponse<T> callOne(Vm vm, ProcessCall<T> question) {
		try {
			return new ProcessResponse<>(vm, question.call(vm.operatorAddress()), "");
		}
		catch (ProcessUnreachableException ex) {
			return new ProcessResponse<>(vm, null, ex.getMessage());
		}
	}

	/**
	 * Question to one process.
	 *
	 * @param <T> what it answers
	 */
	@FunctionalInterface
	public interface ProcessCall<T> {

		/**
		 * Asks.
		 * @param operatorAddress address of the process's operators' endpoint
		 * @return the answer
		 * @throws ProcessUnreachableException if it gave no usable answer
		 */
		T call(String operatorAddress) throws ProcessUnreachableException;

	}

}
