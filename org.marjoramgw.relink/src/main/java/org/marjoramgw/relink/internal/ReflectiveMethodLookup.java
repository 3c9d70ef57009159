package org.marjoramgw.relink.internal;

import java.lang.reflect.Method;
import java.util.Arrays;

import org.objectweb.asm.Type;

/**
 * Interfaces that are loaded to look at their methods; none is initialized.
 *
 * @author The marjoramgw authors
 */
public final class ReflectiveMethodLookup implements MethodLookup {

	private final ClassLoader loader;

	/**
	 * Creates the view.
	 * @param loader loads the interfaces
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
			// Classes of optional dependencies: their lambdas stay as they are.
			return true;
		}
	}

}
