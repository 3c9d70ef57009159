package org.marjoramgw.policy.candidate;

import java.util.Random;
import java.util.Set;

/**
 * Selectors by their names in the configuration.
 *
 * @author The marjoramgw authors
 */
public final class Selectors {

	/** Name of {@link LateBindingSelector}. */
	public static final String LATE_BINDING = "late-binding";

	/** Name of {@link RandomSelector}. */
	public static final String RANDOM = "random";

	/** Name of {@link LeastLoadedSelector}. */
	public static final String LEAST_LOADED = "least-loaded";

	/** Name of {@link PowerOfTwoSelector}. */
	public static final String POWER_OF_TWO = "power-of-two";

	/** All names. */
	public static final Set<String> NAMES = Set.of(LATE_BINDING, RANDOM, LEAST_LOADED, POWER_OF_TWO);

	private Selectors() {
	}

	/**
	 * Creates a selector.
	 * @param name one of {@link #NAMES}
	 * @param random source of randomness
	 * @return the selector; late binding for an unknown name
	 */
	public static CandidateSelector create(String name, Random random) {
		return switch (name) {
			case RANDOM -> new RandomSelector(random);
			case LEAST_LOADED -> new LeastLoadedSelector(random);
			case POWER_OF_TWO -> new PowerOfTwoSelector(random);
			default -> new LateBindingSelector(random);
		};
	}

}
