package org.marjoramgw.docs;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Locates and reads files of the source repository.
 *
 * @author The marjoramgw authors
 */
final class Repository {

	private static final Path ROOT = Path.of(System.getProperty("repository.root", ".."));

	private Repository() {
	}

	static Path page(String name) {
		return ROOT.resolve("docs").resolve(name);
	}

	static String read(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Finds the Java main sources of all modules.
	 * @return the files
	 */
	static List<Path> mainSources() {
		return sources("src/main/java");
	}

	/**
	 * Finds the Java test sources of all modules.
	 * @return the files
	 */
	static List<Path> testSources() {
		return sources("src/test/java");
	}

	private static List<Path> sources(String directory) {
		try (Stream<Path> modules = Files.list(ROOT)) {
			return modules.map((module) -> module.resolve(directory))
				.filter(Files::isDirectory)
				.flatMap(Repository::javaFiles)
				.sorted()
				.toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Stream<Path> javaFiles(Path directory) {
		try (Stream<Path> files = Files.walk(directory)) {
			return files.filter((file) -> file.toString().endsWith(".java")).toList().stream();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
