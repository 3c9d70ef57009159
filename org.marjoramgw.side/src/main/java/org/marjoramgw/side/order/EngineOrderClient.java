package org.marjoramgw.side.order;

import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.OrderFencedException;

/**
 * Sends orders to an engine and reads its state. Calls block and must run on a dedicated
 * thread.
 *
 * @author The marjoramgw authors
 */
public interface EngineOrderClient {

	/**
	 * Reads the state published by the engine.
	 * @return the state
	 * @throws HttpCallException if the engine returned no usable response
	 */
	EngineState state() throws HttpCallException;

	/**
	 * Sends an order.
	 * @param order the order
	 * @throws OrderFencedException if the engine refused the fencing number of the order
	 * @throws HttpCallException if the engine returned no usable response; the order may
	 * have taken effect
	 */
	void send(EngineOrder order) throws OrderFencedException, HttpCallException;

}
