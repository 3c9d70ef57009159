package org.marjoramgw.relink;

import java.io.Serializable;
import java.util.function.Supplier;

/**
 * Sample class with a lambda that is cast to {@link Serializable}.
 *
 * @author The marjoramgw authors
 */
public final class CastSamples implements Supplier<String> {

	@Override
	public String get() {
		Supplier<String> cast = (Supplier<String> & Serializable) () -> "cast";
		return cast.get() + " " + (cast instanceof Serializable);
	}

}
