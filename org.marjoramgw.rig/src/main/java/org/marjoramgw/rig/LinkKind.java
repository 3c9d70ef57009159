package org.marjoramgw.rig;

/**
 * Kind of link that can be routed through the fault proxy.
 *
 * @author The marjoramgw authors
 */
public enum LinkKind {

	/** From the entries to a side process; one link per side process. */
	ENTRY_SIDE("peer."),

	/** From a side process to its backend server; one link per side process. */
	SIDE_BACKEND("backend."),

	/** From a process to the log service; one link per process. */
	PROCESS_TO_LOG("log."),

	/** From a process to the VM list; one link per process. */
	PROCESS_TO_VM_LIST("vmlist.");

	private final String prefix;

	LinkKind(String prefix) {
		this.prefix = prefix;
	}

	/**
	 * Returns the name of a link in the proxy.
	 * @param process name of the entry or side process of the link
	 * @return the name, for example {@code peer.side-1}
	 */
	public String linkName(String process) {
		return this.prefix + process;
	}

}
