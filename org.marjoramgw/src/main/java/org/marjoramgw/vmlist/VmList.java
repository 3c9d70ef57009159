package org.marjoramgw.vmlist;

import java.util.List;

import org.marjoramgw.errors.VmListUnavailableException;

/**
 * The platform's list of VMs, which lags behind their actual state. Calls block, so they
 * should be made on a dedicated thread.
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
