package org.marjoramgw.relink.internal;

import java.lang.reflect.Method;
import java.util.Arrays;

import org.objectweb.asm.Type;

/**
 * Method lookup by reflection. It loads the interfaces without initializing them.
 *
 * @author The marjoramgw authors
 */
public final class ReflectiveMethodLookup implements MethodLookup {

	private final ClassLoader loader;

	/**
	 * Creates a lookup.
	 * @param loader class loader of the interfaces
	 */
	public ReflectiveMethodLookup(ClassLoader loader) {
		this.loader = loader;
	}

	@Override
	public boolean mayHaveMethod(String interfaceName, String name, String descriptor) {
		try {
			Method[] methods = Class.forName(interfaceName, false, this.loader).getMethods();
			return Arrays.stream(methods)
				.filter((method) -> method.getName().equals(name))
				.anyMatch((method) -> Type.getMethodDescriptor(method).equals(descriptor));
		}
		catch (ClassNotFoundException | LinkageError ex) {
			// The interface belongs to an optional dependency that is absent; its lambdas
			// are left unchanged.
			return true;
		}
	}

}
