package org.marjoramgw.relink.internal;

import java.lang.invoke.LambdaMetafactory;

import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.Handle;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/**
 * Change of the lambdas of a class from {@link LambdaMetafactory#altMetafactory} to
 * {@link LambdaMetafactory#metafactory}, where nothing but their being serializable is
 * lost.
 * <p>
 * Classes that ask whether an object is serializable, or cast it, stay as they are.
 *
 * @author The marjoramgw authors
 */
public final class LambdaRelinker {

	private static final String FACTORY = Type.getInternalName(LambdaMetafactory.class);

	private static final String GENERAL_NAME = "altMetafactory";

	private static final String PLAIN_NAME = "metafactory";

	private static final String PLAIN_DESCRIPTOR = "(Ljava/lang/invoke/MethodHandles$Lookup;Ljava/lang/String;"
			+ "Ljava/lang/invoke/MethodType;Ljava/lang/invoke/MethodType;Ljava/lang/invoke/MethodHandle;"
			+ "Ljava/lang/invoke/MethodType;)Ljava/lang/invoke/CallSite;";

	/** Arguments that both factories have: two method types and the implementation. */
	private static final int PLAIN_ARGUMENT_COUNT = 3;

	private final MethodLookup interfaces;

	/**
	 * Creates a relinker.
	 * @param interfaces methods of the interfaces that the lambdas implement
	 */
	public LambdaRelinker(MethodLookup interfaces) {
		this.interfaces = interfaces;
	}

	/**
	 * Changes the lambdas of one class.
	 * @param bytes its class file
	 * @return the changed class file, or the same bytes if there is nothing to change
	 */
	public RelinkedEntry relink(byte[] bytes) {
		ClassReader reader = new ClassReader(bytes);
		SerializableUseVisitor use = new SerializableUseVisitor();
		reader.accept(use, 0);
		if (use.isFound()) {
			return new RelinkedEntry(bytes, 0);
		}
		ClassWriter writer = new ClassWriter(reader, 0);
		RelinkingVisitor lambdas = new RelinkingVisitor(writer);
		reader.accept(lambdas, 0);
		return (lambdas.relinked > 0) ? new RelinkedEntry(writer.toByteArray(), lambdas.relinked)
				: new RelinkedEntry(bytes, 0);
	}

	private boolean isPlain(String name, String descriptor, Object[] arguments) {
		// Nothing but being serializable may set it apart from a lambda of the plain
		// factory.
		int flags = (Integer) arguments[PLAIN_ARGUMENT_COUNT];
		if ((flags & LambdaMetafactory.FLAG_MARKERS) != 0) {
			return false;
		}
		String implemented = Type.getReturnType(descriptor).getClassName();
		boolean bridges = (flags & LambdaMetafactory.FLAG_BRIDGES) != 0;
		// After the flags comes the number of bridges, which the loop passes over.
		for (int index = PLAIN_ARGUMENT_COUNT + 2; bridges && index < arguments.length; index++) {
			String bridge = ((Type) arguments[index]).getDescriptor();
			if (this.interfaces.mayHaveMethod(implemented, name, bridge)) {
				return false;
			}
		}
		return true;
	}

	private final class RelinkingVisitor extends ClassVisitor {

		private int relinked;

		RelinkingVisitor(ClassVisitor next) {
			super(Opcodes.ASM9, next);
		}

		@Override
		public MethodVisitor visitMethod(int access, String name, String descriptor, String signature,
				String[] exceptions) {
			MethodVisitor next = super.visitMethod(access, name, descriptor, signature, exceptions);
			return new MethodVisitor(Opcodes.ASM9, next) {

				@Override
				public void visitInvokeDynamicInsn(String method, String callSite, Handle factory,
						Object... arguments) {
					if (isGeneral(factory) && isPlain(method, callSite, arguments)) {
						RelinkingVisitor.this.relinked++;
						super.visitInvokeDynamicInsn(method, callSite, plain(factory), arguments[0], arguments[1],
								arguments[2]);
					}
					else {
						super.visitInvokeDynamicInsn(method, callSite, factory, arguments);
					}
				}

			};
		}

		private static boolean isGeneral(Handle factory) {
			return factory.getOwner().equals(FACTORY) && factory.getName().equals(GENERAL_NAME);
		}

		private static Handle plain(Handle factory) {
			return new Handle(factory.getTag(), FACTORY, PLAIN_NAME, PLAIN_DESCRIPTOR, factory.isInterface());
		}

	}

}
