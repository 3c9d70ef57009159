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
 * Rewrites the classes in one JAR and copies its other entries unchanged.
 *
 * @author The marjoramgw authors
 */
public final class JarRewriter {

	private static final String CLASS_SUFFIX = ".class";

	private final Path jar;

	private final LambdaRelinker lambdaRelinker;

	/**
	 * Creates a rewriter.
	 * @param jar the JAR
	 * @param lambdaRelinker relinker of the classes
	 */
	public JarRewriter(Path jar, LambdaRelinker lambdaRelinker) {
		this.jar = jar;
		this.lambdaRelinker = lambdaRelinker;
	}

	/**
	 * Replaces the JAR if any of its classes changes.
	 * @return number of lambdas that were changed
	 * @throws IOException if the JAR can't be read or written
	 */
	public int rewrite() throws IOException {
		Path rewritten = Files.createTempFile(this.jar.getParent(), "relink", ".tmp");
		try {
			int relinkedCount = copy(rewritten);
			if (relinkedCount > 0) {
				Files.move(rewritten, this.jar, StandardCopyOption.REPLACE_EXISTING);
			}
			return relinkedCount;
		}
		finally {
			Files.deleteIfExists(rewritten);
		}
	}

	private int copy(Path target) throws IOException {
		int relinkedCount = 0;
		try (ZipFile source = new ZipFile(this.jar.toFile());
				OutputStream file = Files.newOutputStream(target);
				ZipOutputStream copy = new ZipOutputStream(file)) {
			for (Enumeration<? extends ZipEntry> entries = source.entries(); entries.hasMoreElements();) {
				ZipEntry entry = entries.nextElement();
				RelinkedEntry content = relinkedContent(entry, source.getInputStream(entry).readAllBytes());
				relinkedCount += content.relinkedCount();
				ZipEntry copied = new ZipEntry(entry.getName());
				copied.setTime(entry.getTime());
				copy.putNextEntry(copied);
				copy.write(content.bytes());
				copy.closeEntry();
			}
		}
		return relinkedCount;
	}

	private RelinkedEntry relinkedContent(ZipEntry entry, byte[] bytes) {
		return entry.getName().endsWith(CLASS_SUFFIX) ? this.lambdaRelinker.relink(bytes) : new RelinkedEntry(bytes, 0);
	}

}
