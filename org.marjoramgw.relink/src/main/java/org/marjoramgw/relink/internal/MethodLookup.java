package org.marjoramgw.relink.internal;

/**
 * Methods that interfaces declare.
 *
 * @author The marjoramgw authors
 */
public interface MethodLookup {

	/**
	 * Tells whether a method can be called on an interface.
	 * @param interfaceName binary name of the interface
	 * @param name name of the method
	 * @param descriptor its descriptor
	 * @return whether the interface declares or inherits it, or isn't known
	 */
	boolean mayHaveMethod(String interfaceName, String name, String descriptor);

}
