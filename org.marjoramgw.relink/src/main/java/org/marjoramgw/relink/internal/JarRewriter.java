package org.marjoramgw.relink.internal;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Enumeration;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;
import java.util.zip.ZipOutputStream;

/**
 * Rewriting of the classes of one JAR; all else in it stays.
 *
 * @author The marjoramgw authors
 */
public final class JarRewriter {

	private static final String CLASS_SUFFIX = ".class";

	private final Path jar;

	private final LambdaRelinker lambdas;

	/**
	 * Creates a rewriter.
	 * @param jar the JAR
	 * @param lambdas changes the classes
	 */
	public JarRewriter(Path jar, LambdaRelinker lambdas) {
		this.jar = jar;
		this.lambdas = lambdas;
	}

	/**
	 * Replaces the JAR if any of its classes changes.
	 * @return number of lambdas that were changed
	 * @throws IOException if it can't be read or written
	 */
	public int rewrite() throws IOException {
		Path rewritten = Files.createTempFile(this.jar.getParent(), "relink", ".tmp");
		try {
			int relinked = copy(rewritten);
			if (relinked > 0) {
				Files.move(rewritten, this.jar, StandardCopyOption.REPLACE_EXISTING);
			}
			return relinked;
		}
		finally {
			Files.deleteIfExists(rewritten);
		}
	}

	private int copy(Path target) throws IOException {
		int relinked = 0;
		try (ZipFile source = new ZipFile(this.jar.toFile());
				OutputStream file = Files.newOutputStream(target);
				ZipOutputStream copy = new ZipOutputStream(file)) {
			for (Enumeration<? extends ZipEntry> entries = source.entries(); entries.hasMoreElements();) {
				ZipEntry entry = entries.nextElement();
				RelinkedEntry content = content(entry, source.getInputStream(entry).readAllBytes());
				relinked += content.relinkedCount();
				ZipEntry copied = new ZipEntry(entry.getName());
				copied.setTime(entry.getTime());
				copy.putNextEntry(copied);
				copy.write(content.bytes());
				copy.closeEntry();
			}
		}
		return relinked;
	}

	private RelinkedEntry content(ZipEntry entry, byte[] bytes) {
		return entry.getName().endsWith(CLASS_SUFFIX) ? this.lambdas.relink(bytes) : new RelinkedEntry(bytes, 0);
	}

}
