package org.marjoramgw.relink;

import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.marjoramgw.relink.errors.RelinkException;
import org.marjoramgw.relink.internal.JarRewriter;
import org.marjoramgw.relink.internal.LambdaRelinker;
import org.marjoramgw.relink.internal.ReflectiveMethodLookup;

/**
 * Rewrites all JARs of a program so that the classes of their lambdas can be stored in a
 * class data sharing (CDS) archive.
 * <p>
 * The Scala compiler makes every lambda serializable. The JDK doesn't archive the classes
 * of serializable lambdas, so every process generates them again, which slows its start.
 * No part of the programs serializes a lambda.
 *
 * @author The marjoramgw authors
 */
public final class LibraryRelinker {

	private static final String JAR_SUFFIX = ".jar";

	private final Path directory;

	/**
	 * Creates a relinker.
	 * @param directory directory that contains all JARs of the program
	 */
	public LibraryRelinker(Path directory) {
		this.directory = directory;
	}

	/**
	 * Rewrites the JARs in place. A JAR without lambdas to change is left untouched.
	 * @return number of lambdas that were changed
	 * @throws RelinkException if a JAR can't be read or written
	 */
	public int relink() throws RelinkException {
		List<Path> jars = jars();
		int relinkedCount = 0;
		try (URLClassLoader loader = new URLClassLoader(urls(jars), ClassLoader.getPlatformClassLoader())) {
			LambdaRelinker lambdaRelinker = new LambdaRelinker(new ReflectiveMethodLookup(loader));
			for (Path jar : jars) {
				relinkedCount += new JarRewriter(jar, lambdaRelinker).rewrite();
			}
		}
		catch (IOException ex) {
			throw new RelinkException("can't rewrite the libraries in " + this.directory, ex);
		}
		return relinkedCount;
	}

	private List<Path> jars() throws RelinkException {
		try (Stream<Path> files = Files.list(this.directory)) {
			return files.filter((file) -> file.toString().endsWith(JAR_SUFFIX)).sorted().toList();
		}
		catch (IOException ex) {
			throw new RelinkException("can't list the libraries in " + this.directory, ex);
		}
	}

	private static URL[] urls(List<Path> jars) throws MalformedURLException {
		URL[] urls = new URL[jars.size()];
		for (int index = 0; index < urls.length; index++) {
			urls[index] = jars.get(index).toUri().toURL();
		}
		return urls;
	}

}
