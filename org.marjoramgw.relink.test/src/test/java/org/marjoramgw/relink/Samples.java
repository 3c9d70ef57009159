package org.marjoramgw.relink;

import java.io.Serializable;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Sample class with the kinds of lambdas that compilers create with altMetafactory: a
 * serializable one, one with a bridge, and one with a marker interface.
 *
 * @author The marjoramgw authors
 */
public final class Samples implements Supplier<String> {

	@Override
	public String get() {
		String captured = "captured";
		Text plain = () -> captured;
		Named bridged = () -> "bridged";
		@SuppressWarnings("unchecked")
		Function<String, Integer> marked = (Function<String, Integer> & Marker) String::length;
		return plain.get() + " " + asSupplier(bridged).get() + " " + marked.apply("four") + " "
				+ (marked instanceof Marker);
	}

	private static Supplier<? extends CharSequence> asSupplier(Named named) {
		return named;
	}

	/** Marker interface that the rewritten lambda must still implement. */
	interface Marker {

	}

	/** Serializable interface with one method. */
	interface Text extends Serializable {

		String get();

	}

	/**
	 * Interface that inherits one method with two descriptors, so that its lambdas need a
	 * bridge.
	 */
	interface Named extends Supplier<String>, Text {

	}

}
