package org.marjoramgw.side.order;

import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.OrderFencedException;

/**
 * Engine as the one that takes orders; calls block and belong on a thread of their own.
 *
 * @author The marjoramgw authors
 */
public interface EngineOrderClient {

	/**
	 * Reads the published state.
	 * @return the state
	 * @throws HttpCallException if the engine gave no usable answer
	 */
	EngineState state() throws HttpCallException;

	/**
	 * Gives an order.
	 * @param order the order
	 * @throws OrderFencedException if the engine refused its fencing number
	 * @throws HttpCallException if the engine gave no usable answer; the order may have
	 * taken effect
	 */
	void send(EngineOrder order) throws OrderFencedException, HttpCallException;

}
