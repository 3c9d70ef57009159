package org.marjoramgw.entry.dispatch;

import java.util.List;
import java.util.OptionalLong;

import org.marjoramgw.policy.candidate.Candidate;
import org.marjoramgw.wire.Message;

/**
 * Side processes that this entry is connected to; thread-safe.
 *
 * @author The marjoramgw authors
 */
public interface SideProcesses {

	/**
	 * Lists the side processes of a pool that accept requests.
	 * @param pool name of the pool
	 * @return the side processes that are connected and not leaving
	 */
	List<Candidate> live(String pool);

	/**
	 * Sends a message to a side process; dropped if there is no connection.
	 * @param sideId process id of the side process
	 * @param message the message
	 */
	void send(String sideId, Message message);

	/**
	 * Returns the incarnation of a connected side process.
	 * @param sideId process id of the side process
	 * @return its incarnation, or empty if it isn't connected
	 */
	OptionalLong incarnation(String sideId);

}
