package org.marjoramgw.side.weightstore;

import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.WeightStoreBusyException;

/**
 * The platform's store of model weights. Calls block and must run on a dedicated thread.
 *
 * @author The marjoramgw authors
 */
public interface WeightStore {

	/**
	 * Prepares the weights of a model for loading.
	 * @param model name of the model
	 * @throws WeightStoreBusyException if the store rejects the call because of its rate
	 * limit
	 * @throws HttpCallException if the store returned no usable response
	 */
	void prepare(String model) throws WeightStoreBusyException, HttpCallException;

}
