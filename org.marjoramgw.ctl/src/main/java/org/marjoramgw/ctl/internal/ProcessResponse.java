package org.marjoramgw.ctl.internal;

import org.marjoramgw.vmlist.Vm;

/**
 * Answer of one process of the VM list.
 *
 * @param <T> what it answers
 * @param vm its VM
 * @param value the answer, or {@code null} if it gave none
 * @param error why it gave none, or an empty text
 * @author The marjoramgw authors
 */
public record ProcessResponse<T>(Vm vm, T value, String error) {

	/**
	 * Tells whether the process answered.
	 * @return whether there is an answer
	 */
	public boolean isSuccessful() {
		return this.value != null;
	}

}
