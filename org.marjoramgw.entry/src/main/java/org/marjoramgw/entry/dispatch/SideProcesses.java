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
	 * Lists the side processes of a pool that take work.
	 * @param pool name of the pool
	 * @return those that are connected and not leaving
	 */
	List<Candidate> live(String pool);

	/**
	 * Sends a message; dropped if there is no connection.
	 * @param sideId process id of the side process
	 * @param message the message
	 */
	void send(String sideId, Message message);

	/**
	 * Returns the incarnation of a connected side process.
	 * @param sideId process id of the side process
	 * @return its incarnation, or empty without a connection
	 */
	OptionalLong incarnation(String sideId);

}
