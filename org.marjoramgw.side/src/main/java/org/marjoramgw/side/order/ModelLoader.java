package org.marjoramgw.side.order;

import java.util.Set;

import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.OrderFencedException;
import org.marjoramgw.errors.WeightStoreBusyException;
import org.marjoramgw.side.weightstore.WeightStore;

/**
 * Loader of the models that an engine lacks, one after the other.
 *
 * @author The marjoramgw authors
 */
public final class ModelLoader {

	private final EngineOrderClient engine;

	private final WeightStore weightStore;

	/**
	 * Creates a loader.
	 * @param engine the engine
	 * @param weights the weight store
	 */
	public ModelLoader(EngineOrderClient engine, WeightStore weights) {
		this.engine = engine;
		this.weightStore = weights;
	}

	/**
	 * Loads the first model that the engine lacks.
	 * @param wanted names of the models that it should have
	 * @param fencing fencing number of this process
	 * @return whether the engine has all of them now
	 * @throws OrderFencedException if a newer incarnation gives the orders
	 * @throws WeightStoreBusyException if the weight store is over its rate
	 * @throws HttpCallException if the engine or the store gave no usable answer
	 */
	public boolean loadNext(Set<String> wanted, long fencing)
			throws OrderFencedException, WeightStoreBusyException, HttpCallException {
		EngineState before = readState(fencing);
		for (String model : wanted) {
			if (!before.models().contains(model)) {
				load(model, fencing);
				return readState(fencing).models().containsAll(wanted);
			}
		}
		return true;
	}

	private void load(String model, long fencing)
			throws OrderFencedException, WeightStoreBusyException, HttpCallException {
		this.weightStore.prepare(model);
		// The load takes long enough for a newer incarnation to start.
		readState(fencing);
		this.engine.send(new EngineOrder(EngineOrder.LOAD_MODEL, model, fencing));
	}

	private EngineState readState(long fencing) throws OrderFencedException, HttpCallException {
		EngineState state = this.engine.state();
		if (state.fencing() > fencing) {
			throw new OrderFencedException("engine has seen " + state.fencing() + ", this process has " + fencing);
		}
		return state;
	}

}
