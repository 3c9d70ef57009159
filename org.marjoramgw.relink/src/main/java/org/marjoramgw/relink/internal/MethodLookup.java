package org.marjoramgw.relink.internal;

/**
 * Lookup of the methods of interfaces.
 *
 * @author The marjoramgw authors
 */
public interface MethodLookup {

	/**
	 * Tells whether an interface may have a method.
	 * @param interfaceName binary name of the interface
	 * @param name name of the method
	 * @param descriptor descriptor of the method
	 * @return whether the interface declares or inherits the method, or can't be loaded
	 */
	boolean mayHaveMethod(String interfaceName, String name, String descriptor);

}
