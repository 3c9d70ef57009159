package org.marjoramgw.http;

import java.util.List;

import org.apache.pekko.http.javadsl.model.Host;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.Query;
import org.apache.pekko.http.javadsl.model.Uri;

/**
 * Classes of the HTTP library that must be initialized before several threads use it.
 * <p>
 * Each of them has a constant that is an instance of a subclass. A thread that begins
 * with the class and one that begins with the subclass at the same time would wait for
 * each other without end.
 *
 * @author The marjoramgw authors
 */
final class LibraryClasses {

	private static final List<Class<?>> TYPES = List.of(Uri.class, Query.class, Host.class,
			HttpEntity.ChunkStreamPart.class);

	private LibraryClasses() {
	}

	/**
	 * Initializes the classes, unless they are.
	 */
	static void initialize() {
		for (Class<?> type : TYPES) {
			try {
				Class.forName(type.getName(), true, type.getClassLoader());
			}
			catch (ClassNotFoundException ex) {
				throw new IllegalStateException("loaded class " + type + " not found", ex);
			}
		}
	}

	/**
	 * Returns the classes.
	 * @return the classes
	 */
	static List<Class<?>> types() {
		return TYPES;
	}

}
