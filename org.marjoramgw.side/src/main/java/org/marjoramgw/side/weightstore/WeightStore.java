package org.marjoramgw.side.weightstore;

import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.WeightStoreBusyException;

/**
 * The platform's store of model weights; calls block and belong on a thread of their own.
 *
 * @author The marjoramgw authors
 */
public interface WeightStore {

	/**
	 * Makes the weights of a model ready to load.
	 * @param model name of the model
	 * @throws WeightStoreBusyException if the store is over its rate
	 * @throws HttpCallException if the store gave no usable answer
	 */
	void prepare(String model) throws WeightStoreBusyException, HttpCallException;

}
