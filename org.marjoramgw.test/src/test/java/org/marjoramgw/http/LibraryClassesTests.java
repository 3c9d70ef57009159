package org.marjoramgw.http;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;

import org.apache.pekko.http.javadsl.model.Uri;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link LibraryClasses}.
 *
 * @author The marjoramgw authors
 */
public class LibraryClassesTests {

	private static final String MODEL = "org.apache.pekko.http.";

	@DataProvider
	public Object[][] races() {
		String[][] pairs = { { "javadsl.model.Uri", "impl.model.JavaUri" },
				{ "javadsl.model.Query", "impl.model.JavaQuery" }, { "javadsl.model.Host", "scaladsl.model.Uri$Host" },
				{ "javadsl.model.HttpEntity$ChunkStreamPart", "scaladsl.model.HttpEntity$ChunkStreamPart" } };
		Object[][] races = new Object[pairs.length * 2][];
		for (int index = 0; index < pairs.length; index++) {
			races[index] = new Object[] { "server", pairs[index][0], pairs[index][1] };
			races[index + pairs.length] = new Object[] { "client", pairs[index][0], pairs[index][1] };
		}
		return races;
	}

	/**
	 * Guards against a process whose threads wait for each other without end, because its
	 * first requests used the library for the first time at the same moment.
	 */
	@Test(dataProvider = "races")
	public void threadsThatBeginTogetherDoNotWaitForEachOther(String side, String type, String subtype)
			throws Exception {
		Process process = new ProcessBuilder(ProcessHandle.current().info().command().orElseThrow(), "-cp",
				System.getProperty("java.class.path"), ClassRace.class.getName(), side, MODEL + type, MODEL + subtype)
			.inheritIO()
			.start();
		Assert.assertEquals(process.waitFor(), 0);
	}

	/** Guards against further such classes in another version of the library. */
	@Test
	public void allClassesWithAConstantOfTheirOwnTypeAreListed() throws Exception {
		Path library = Path.of(Uri.class.getProtectionDomain().getCodeSource().getLocation().toURI());
		Set<Class<?>> found = new HashSet<>();
		try (JarFile jar = new JarFile(library.toFile())) {
			for (JarEntry entry : (Iterable<JarEntry>) jar.stream()::iterator) {
				if (entry.getName().endsWith(".class") && hasConstantOfOwnType(entry)) {
					found.add(load(entry));
				}
			}
		}
		Assert.assertEquals(found, Set.copyOf(LibraryClasses.types()));
	}

	private static boolean hasConstantOfOwnType(JarEntry entry) throws IOException {
		try {
			Class<?> type = load(entry);
			if (type.isEnum() || Modifier.isFinal(type.getModifiers())) {
				return false;
			}
			for (Field field : type.getDeclaredFields()) {
				// A singleton of the library's language is of its own class, not of a
				// subclass.
				if (Modifier.isStatic(field.getModifiers()) && type.isAssignableFrom(field.getType())
						&& !field.getName().equals("MODULE$")) {
					return true;
				}
			}
			return false;
		}
		catch (LinkageError ex) {
			// Needs a library that isn't there, and so can't be used.
			return false;
		}
	}

	private static Class<?> load(JarEntry entry) throws IOException {
		String name = entry.getName().replace('/', '.').replaceFirst("\\.class$", "");
		try {
			return Class.forName(name, false, LibraryClasses.class.getClassLoader());
		}
		catch (ClassNotFoundException ex) {
			throw new IOException("class of the library not found: " + name, ex);
		}
	}

}
