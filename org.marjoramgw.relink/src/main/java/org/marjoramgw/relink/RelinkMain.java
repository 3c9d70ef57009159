package org.marjoramgw.relink;

import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.relink.errors.RelinkException;

/**
 * Main class of the build step that rewrites the library JARs of a program in place.
 *
 * @author The marjoramgw authors
 */
public final class RelinkMain {

	private static final int USAGE_EXIT_CODE = 2;

	@Parameter(names = "--libraries", required = true, description = "directory with the JARs of a program")
	private String libraries;

	private RelinkMain() {
	}

	/**
	 * Rewrites all JARs in a directory.
	 * @param args command-line arguments
	 * @throws RelinkException if a JAR can't be read or written
	 */
	public static void main(String[] args) throws RelinkException {
		RelinkMain arguments = new RelinkMain();
		try {
			JCommander.newBuilder().addObject(arguments).build().parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			System.exit(USAGE_EXIT_CODE);
		}
		int relinkedCount = new LibraryRelinker(Path.of(arguments.libraries)).relink();
		System.out.println("relinked " + relinkedCount + " lambdas in " + arguments.libraries);
	}

}
