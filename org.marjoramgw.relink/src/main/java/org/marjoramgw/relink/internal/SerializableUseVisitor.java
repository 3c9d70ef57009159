package org.marjoramgw.relink.internal;

import java.io.Serializable;

import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/**
 * Searches a class for casts to {@link Serializable} and for {@code instanceof} checks
 * against it.
 *
 * @author The marjoramgw authors
 */
final class SerializableUseVisitor extends ClassVisitor {

	private static final String SERIALIZABLE = Type.getInternalName(Serializable.class);

	private boolean found;

	SerializableUseVisitor() {
		super(Opcodes.ASM9);
	}

	boolean isFound() {
		return this.found;
	}

	@Override
	public MethodVisitor visitMethod(int access, String name, String descriptor, String signature,
			String[] exceptions) {
		return new MethodVisitor(Opcodes.ASM9) {

			@Override
			public void visitTypeInsn(int opcode, String type) {
				boolean isTypeCheck = opcode == Opcodes.CHECKCAST || opcode == Opcodes.INSTANCEOF;
				SerializableUseVisitor.this.found |= isTypeCheck && type.equals(SERIALIZABLE);
			}

		};
	}

}
