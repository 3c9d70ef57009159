package org.marjoramgw.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Bounded history of the started generations; not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class ExecutionHistory {

	private final int maxCount;

	private final Deque<Generation> generations = new ArrayDeque<>();

	ExecutionHistory(int maxCount) {
		this.maxCount = maxCount;
	}

	void add(Generation generation) {
		if (this.generations.size() >= this.maxCount) {
			this.generations.removeFirst();
		}
		this.generations.addLast(generation);
	}

	List<Execution> list() {
		return this.generations.stream().map(Generation::toExecution).toList();
	}

}
