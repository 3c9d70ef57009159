package org.marjoramgw.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.Method;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

import org.testng.IAnnotationTransformer;
import org.testng.annotations.ITestAnnotation;

/**
 * Disables exactly the tests listed in {@code KNOWN-RED.txt}, the known failures, and
 * prints each of them.
 * <p>
 * An entry of the list starts with a line {@code test: CLASS#METHOD}. The system property
 * {@code known.red.run=true} enables the listed tests.
 *
 * @author The marjoramgw authors
 */
public final class KnownRedTransformer implements IAnnotationTransformer {

	private static final String ENTRY = "test:";

	private final Set<String> knownRed = readList();

	@Override
	@SuppressWarnings("rawtypes")
	public void transform(ITestAnnotation annotation, Class testClass, Constructor testConstructor, Method testMethod) {
		if (testMethod == null) {
			return;
		}
		String name = testMethod.getDeclaringClass().getName() + "#" + testMethod.getName();
		if (this.knownRed.contains(name) && !Boolean.getBoolean("known.red.run")) {
			annotation.setEnabled(false);
			System.out.println("KNOWN-RED passed over: " + name);
		}
	}

	private static Set<String> readList() {
		Path file = Path.of(System.getProperty("repository.root", "."), "KNOWN-RED.txt");
		if (!Files.exists(file)) {
			return Set.of();
		}
		try (var lines = Files.lines(file)) {
			return lines.filter((line) -> line.startsWith(ENTRY))
				.map((line) -> line.substring(ENTRY.length()).trim())
				.collect(Collectors.toUnmodifiableSet());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
