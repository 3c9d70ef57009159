package org.marjoramgw.standin.engine;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Loaded models and role of an engine, changed by orders; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class Orders {

	private final boolean checksFencing;

	private final boolean servesAnyModel;

	private final Set<String> models;

	private String role = "serve";

	private long fencing;

	Orders(List<String> models, boolean checksFencing) {
		this.models = new TreeSet<>(models);
		this.servesAnyModel = models.isEmpty();
		this.checksFencing = checksFencing;
	}

	/**
	 * Applies an order.
	 * @param order the order
	 * @return whether it was accepted; an old fencing number is refused if fencing is
	 * checked
	 */
	synchronized boolean apply(Order order) {
		if (this.checksFencing && order.fencing() < this.fencing) {
			return false;
		}
		this.fencing = Math.max(this.fencing, order.fencing());
		if ("load_model".equals(order.action())) {
			this.models.add(order.model());
		}
		else if ("unload_model".equals(order.action())) {
			this.models.remove(order.model());
		}
		else {
			this.role = order.model();
		}
		return true;
	}

	synchronized boolean serves(String model) {
		return this.servesAnyModel || this.models.contains(model);
	}

	synchronized EngineState state() {
		return new EngineState(List.copyOf(this.models), this.role, this.fencing, this.checksFencing);
	}

	/**
	 * Order to an engine.
	 *
	 * @param action {@code load_model}, {@code unload_model} or {@code set_role}
	 * @param model name of the model, or the role
	 * @param fencing fencing number
	 */
	record Order(String action, String model, long fencing) {
	}

	/**
	 * State of an engine as reported by {@code GET /state}.
	 *
	 * @param models loaded models
	 * @param role role of the engine
	 * @param fencing highest fencing number seen
	 * @param checksFencing whether old fencing numbers are refused
	 */
	record EngineState(List<String> models, String role, long fencing, boolean checksFencing) {
	}

}
