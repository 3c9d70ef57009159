package org.marjoramgw.side.order;

import java.util.Set;

import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.OrderFencedException;
import org.marjoramgw.errors.WeightStoreBusyException;
import org.marjoramgw.side.weightstore.WeightStore;

/**
 * Loads the models that an engine is missing, one at a time.
 *
 * @author The marjoramgw authors
 */
public final class ModelLoader {

	private final EngineOrderClient engine;

	private final WeightStore weightStore;

	/**
	 * Creates a loader.
	 * @param engine client of the engine
	 * @param weightStore the weight store
	 */
	public ModelLoader(EngineOrderClient engine, WeightStore weightStore) {
		this.engine = engine;
		this.weightStore = weightStore;
	}

	/**
	 * Loads the first model that the engine is missing.
	 * @param wantedModels names of the models that the engine should have
	 * @param fencing fencing number of this process
	 * @return whether the engine now has all of them
	 * @throws OrderFencedException if the engine has seen the fencing number of a newer
	 * incarnation of this process
	 * @throws WeightStoreBusyException if the weight store rejects the call because of
	 * its rate limit
	 * @throws HttpCallException if the engine or the store returned no usable response
	 */
	public boolean loadNext(Set<String> wantedModels, long fencing)
			throws OrderFencedException, WeightStoreBusyException, HttpCallException {
		EngineState state = readState(fencing);
		for (String model : wantedModels) {
			if (!state.models().contains(model)) {
				load(model, fencing);
				return readState(fencing).models().containsAll(wantedModels);
			}
		}
		return true;
	}

	private void load(String model, long fencing)
			throws OrderFencedException, WeightStoreBusyException, HttpCallException {
		this.weightStore.prepare(model);
		// Preparing the weights takes long enough for a newer incarnation to start.
		readState(fencing);
		this.engine.send(new EngineOrder(EngineOrder.LOAD_MODEL, model, fencing));
	}

	private EngineState readState(long fencing) throws OrderFencedException, HttpCallException {
		EngineState state = this.engine.state();
		if (state.fencing() > fencing) {
			throw new OrderFencedException(
					"engine has seen fencing number " + state.fencing() + ", this process has " + fencing);
		}
		return state;
	}

}
