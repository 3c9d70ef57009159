package org.marjoramgw.rig;

/**
 * Kind of link that may lead through the fault proxy.
 *
 * @author The marjoramgw authors
 */
public enum LinkKind {

	/** Entries to a side process; one link for each side process. */
	ENTRY_SIDE("peer."),

	/** Side process to its backend server; one link for each side process. */
	SIDE_BACKEND("backend."),

	/** Process to the log service; one link for each process. */
	PROCESS_TO_LOG("log."),

	/** Process to the VM list; one link for each process. */
	PROCESS_TO_VM_LIST("vmlist.");

	private final String prefix;

	LinkKind(String prefix) {
		this.prefix = prefix;
	}

	/**
	 * Returns the name of a link at the proxy.
	 * @param process name of the entry or side process that it belongs to
	 * @return the name, for example {@code peer.side-1}
	 */
	public String linkName(String process) {
		return this.prefix + process;
	}

}
