package org.marjoramgw.ctl.internal;

import org.marjoramgw.vmlist.Vm;

/**
 * Response of one process in the VM list, or the error if there is none.
 *
 * @param <T> type of the result
 * @param vm VM of the process
 * @param value the result, or {@code null} if the call failed
 * @param error cause of the failure, or an empty text
 * @author The marjoramgw authors
 */
public record ProcessResponse<T>(Vm vm, T value, String error) {

	/**
	 * Tells whether the call succeeded.
	 * @return whether there is a result
	 */
	public boolean isSuccessful() {
		return this.value != null;
	}

}
