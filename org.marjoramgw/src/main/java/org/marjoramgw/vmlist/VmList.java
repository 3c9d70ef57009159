package org.marjoramgw.vmlist;

import java.util.List;

import org.marjoramgw.errors.VmListUnavailableException;

/**
 * The platform's list of VMs, which lags behind the truth; calls block and belong on a
 * thread of their own.
 *
 * @author The marjoramgw authors
 */
public interface VmList {

	/**
	 * Reads the list.
	 * @return the VMs
	 * @throws VmListUnavailableException if the list can't be read
	 */
	List<Vm> read() throws VmListUnavailableException;

}
