package org.marjoramgw.policy.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Times at which answers to prompts with each part last began, for the parts used most
 * recently. Not thread-safe.
 *
 * @author The marjoramgw authors
 */
final class BegunParts {

	static final int MAX_PARTS = 4_096;

	private static final float LOAD_FACTOR = 0.75f;

	private final Map<PromptPartKey, Long> lastMillisByPart = new LinkedHashMap<>(16, LOAD_FACTOR, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<PromptPartKey, Long> eldest) {
			return size() > MAX_PARTS;
		}

	};

	void add(PromptPartKey part, long nowMillis) {
		this.lastMillisByPart.put(part, nowMillis);
	}

	boolean contains(PromptPartKey part) {
		return this.lastMillisByPart.containsKey(part);
	}

	/**
	 * Tells whether an answer to a prompt with a part began at a time or later.
	 * @param part the part
	 * @param sinceMillis the time, in milliseconds
	 * @return whether one began
	 */
	boolean containsSince(PromptPartKey part, long sinceMillis) {
		Long lastMillis = this.lastMillisByPart.get(part);
		return lastMillis != null && lastMillis >= sinceMillis;
	}

}
