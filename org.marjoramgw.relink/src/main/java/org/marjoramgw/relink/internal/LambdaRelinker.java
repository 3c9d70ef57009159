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
 * Changes the bootstrap method of the lambdas in a class from
 * {@link LambdaMetafactory#altMetafactory} to {@link LambdaMetafactory#metafactory},
 * where a lambda loses nothing but being serializable.
 * <p>
 * Classes that cast an object to {@link java.io.Serializable}, or check whether it is
 * one, are left unchanged.
 *
 * @author The marjoramgw authors
 */
public final class LambdaRelinker {

	private static final String LAMBDA_METAFACTORY = Type.getInternalName(LambdaMetafactory.class);

	private static final String ALT_METAFACTORY = "altMetafactory";

	private static final String METAFACTORY = "metafactory";

	private static final String METAFACTORY_DESCRIPTOR = "(Ljava/lang/invoke/MethodHandles$Lookup;Ljava/lang/String;"
			+ "Ljava/lang/invoke/MethodType;Ljava/lang/invoke/MethodType;Ljava/lang/invoke/MethodHandle;"
			+ "Ljava/lang/invoke/MethodType;)Ljava/lang/invoke/CallSite;";

	/**
	 * Arguments common to both bootstrap methods: two method types and the
	 * implementation.
	 */
	private static final int METAFACTORY_ARGUMENT_COUNT = 3;

	private final MethodLookup methodLookup;

	/**
	 * Creates a relinker.
	 * @param methodLookup lookup of the methods of the interfaces that lambdas implement
	 */
	public LambdaRelinker(MethodLookup methodLookup) {
		this.methodLookup = methodLookup;
	}

	/**
	 * Changes the lambdas in a class.
	 * @param bytes the class file
	 * @return the changed class file, or the same bytes if there is nothing to change
	 */
	public RelinkedEntry relink(byte[] bytes) {
		ClassReader reader = new ClassReader(bytes);
		SerializableUseVisitor useVisitor = new SerializableUseVisitor();
		reader.accept(useVisitor, 0);
		if (useVisitor.isFound()) {
			return new RelinkedEntry(bytes, 0);
		}
		ClassWriter writer = new ClassWriter(reader, 0);
		RelinkingVisitor relinkingVisitor = new RelinkingVisitor(writer);
		reader.accept(relinkingVisitor, 0);
		return (relinkingVisitor.relinkedCount > 0)
				? new RelinkedEntry(writer.toByteArray(), relinkingVisitor.relinkedCount) : new RelinkedEntry(bytes, 0);
	}

	private boolean canUseMetafactory(String name, String descriptor, Object[] bootstrapArguments) {
		// Apart from being serializable, the lambda must not use anything that only
		// altMetafactory supports: no marker interfaces, no required bridges.
		int flags = (Integer) bootstrapArguments[METAFACTORY_ARGUMENT_COUNT];
		if ((flags & LambdaMetafactory.FLAG_MARKERS) != 0) {
			return false;
		}
		String interfaceName = Type.getReturnType(descriptor).getClassName();
		boolean hasBridges = (flags & LambdaMetafactory.FLAG_BRIDGES) != 0;
		// The flags are followed by the number of bridges, which the loop skips.
		for (int index = METAFACTORY_ARGUMENT_COUNT + 2; hasBridges && index < bootstrapArguments.length; index++) {
			String bridge = ((Type) bootstrapArguments[index]).getDescriptor();
			if (this.methodLookup.mayHaveMethod(interfaceName, name, bridge)) {
				return false;
			}
		}
		return true;
	}

	private final class RelinkingVisitor extends ClassVisitor {

		private int relinkedCount;

		RelinkingVisitor(ClassVisitor next) {
			super(Opcodes.ASM9, next);
		}

		@Override
		public MethodVisitor visitMethod(int access, String name, String descriptor, String signature,
				String[] exceptions) {
			MethodVisitor next = super.visitMethod(access, name, descriptor, signature, exceptions);
			return new MethodVisitor(Opcodes.ASM9, next) {

				@Override
				public void visitInvokeDynamicInsn(String callSiteName, String callSiteDescriptor,
						Handle bootstrapMethod, Object... bootstrapArguments) {
					if (isAltMetafactory(bootstrapMethod)
							&& canUseMetafactory(callSiteName, callSiteDescriptor, bootstrapArguments)) {
						RelinkingVisitor.this.relinkedCount++;
						super.visitInvokeDynamicInsn(callSiteName, callSiteDescriptor, toMetafactory(bootstrapMethod),
								bootstrapArguments[0], bootstrapArguments[1], bootstrapArguments[2]);
					}
					else {
						super.visitInvokeDynamicInsn(callSiteName, callSiteDescriptor, bootstrapMethod,
								bootstrapArguments);
					}
				}

			};
		}

		private static boolean isAltMetafactory(Handle bootstrapMethod) {
			return bootstrapMethod.getOwner().equals(LAMBDA_METAFACTORY)
					&& bootstrapMethod.getName().equals(ALT_METAFACTORY);
		}

		private static Handle toMetafactory(Handle bootstrapMethod) {
			return new Handle(bootstrapMethod.getTag(), LAMBDA_METAFACTORY, METAFACTORY, METAFACTORY_DESCRIPTOR,
					bootstrapMethod.isInterface());
		}

	}

}
