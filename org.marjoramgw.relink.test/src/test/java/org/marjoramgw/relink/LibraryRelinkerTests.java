package org.marjoramgw.relink;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;
import java.util.zip.ZipOutputStream;

import org.marjoramgw.relink.errors.RelinkException;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.Handle;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link LibraryRelinker} on a JAR with sample classes.
 *
 * @author The marjoramgw authors
 */
public class LibraryRelinkerTests {

	private static final String NOTE = "META-INF/note.txt";

	private static final String SAMPLES = internalName(Samples.class);

	private static final String CAST_SAMPLES = internalName(CastSamples.class);

	private Path directory;

	private Path jar;

	@BeforeMethod
	public void writeJar() throws IOException {
		this.directory = Files.createTempDirectory("relink");
		this.jar = this.directory.resolve("samples.jar");
		try (OutputStream file = Files.newOutputStream(this.jar); ZipOutputStream zip = new ZipOutputStream(file)) {
			for (String name : List.of(SAMPLES, SAMPLES + "$Marker", SAMPLES + "$Named", SAMPLES + "$Text",
					CAST_SAMPLES)) {
				write(zip, name + ".class", read(name + ".class"));
			}
			write(zip, NOTE, "kept".getBytes(StandardCharsets.UTF_8));
		}
	}

	@AfterMethod
	public void deleteJar() throws IOException {
		Files.delete(this.jar);
		Files.delete(this.directory);
	}

	@Test
	public void keepsAltMetafactoryOnlyWhereRequired() throws Exception {
		String named = Samples.Named.class.getName();
		String text = Samples.Text.class.getName();
		Assert.assertEquals(interfacesUsingAltMetafactory(SAMPLES),
				List.of(text, named, "java.util.function.Function"));
		Assert.assertTrue(new LibraryRelinker(this.directory).relink() > 0);
		Assert.assertEquals(interfacesUsingAltMetafactory(SAMPLES), List.of(named, "java.util.function.Function"));
	}

	@Test
	public void keepsLambdasCastToSerializable() throws Exception {
		new LibraryRelinker(this.directory).relink();
		Assert.assertEquals(interfacesUsingAltMetafactory(CAST_SAMPLES), List.of("java.util.function.Supplier"));
	}

	@Test
	public void rewrittenLambdasReturnSameResults() throws Exception {
		new LibraryRelinker(this.directory).relink();
		Assert.assertEquals(run(Samples.class), new Samples().get());
		Assert.assertEquals(run(CastSamples.class), new CastSamples().get());
	}

	@Test
	public void secondRunChangesNothing() throws Exception {
		Assert.assertTrue(new LibraryRelinker(this.directory).relink() > 0);
		byte[] once = Files.readAllBytes(this.jar);
		Assert.assertEquals(new LibraryRelinker(this.directory).relink(), 0);
		Assert.assertEquals(Files.readAllBytes(this.jar), once);
	}

	@Test
	public void copiesOtherEntriesUnchanged() throws Exception {
		new LibraryRelinker(this.directory).relink();
		try (ZipFile zip = new ZipFile(this.jar.toFile())) {
			Assert.assertEquals(zip.size(), 6);
			Assert.assertEquals(
					new String(zip.getInputStream(zip.getEntry(NOTE)).readAllBytes(), StandardCharsets.UTF_8), "kept");
		}
	}

	@Test
	public void leavesNoTemporaryFiles() throws Exception {
		new LibraryRelinker(this.directory).relink();
		try (var files = Files.list(this.directory)) {
			Assert.assertEquals(files.toList(), List.of(this.jar));
		}
	}

	@Test(expectedExceptions = RelinkException.class)
	public void rejectsMissingDirectory() throws Exception {
		new LibraryRelinker(this.directory.resolve("missing")).relink();
	}

	private String run(Class<?> samples) throws Exception {
		try (URLClassLoader loader = new URLClassLoader(new URL[] { this.jar.toUri().toURL() },
				ClassLoader.getPlatformClassLoader())) {
			Class<?> loaded = loader.loadClass(samples.getName());
			return (String) ((Supplier<?>) loaded.getConstructor().newInstance()).get();
		}
	}

	private List<String> interfacesUsingAltMetafactory(String name) throws IOException {
		List<String> interfaces = new ArrayList<>();
		try (ZipFile zip = new ZipFile(this.jar.toFile());
				InputStream content = zip.getInputStream(zip.getEntry(name + ".class"))) {
			new ClassReader(content).accept(new ClassVisitor(Opcodes.ASM9) {

				@Override
				public MethodVisitor visitMethod(int access, String method, String descriptor, String signature,
						String[] exceptions) {
					// This method, which the compiler generates for deserialization,
					// creates
					// the same lambdas once more.
					return method.equals("$deserializeLambda$") ? null : new AltMetafactoryVisitor(interfaces);
				}

			}, 0);
		}
		return interfaces;
	}

	private static String internalName(Class<?> type) {
		return type.getName().replace('.', '/');
	}

	private static byte[] read(String name) throws IOException {
		try (InputStream content = Samples.class.getClassLoader().getResourceAsStream(name)) {
			return content.readAllBytes();
		}
	}

	private static void write(ZipOutputStream zip, String name, byte[] content) throws IOException {
		zip.putNextEntry(new ZipEntry(name));
		zip.write(content);
		zip.closeEntry();
	}

	/** Collects the interfaces of the lambdas that are created by altMetafactory. */
	private static final class AltMetafactoryVisitor extends MethodVisitor {

		private final List<String> interfaces;

		AltMetafactoryVisitor(List<String> interfaces) {
			super(Opcodes.ASM9);
			this.interfaces = interfaces;
		}

		@Override
		public void visitInvokeDynamicInsn(String name, String descriptor, Handle bootstrapMethod,
				Object... bootstrapArguments) {
			if (bootstrapMethod.getName().equals("altMetafactory")) {
				this.interfaces.add(Type.getReturnType(descriptor).getClassName());
			}
		}

	}

}
