package org.marjoramgw.relink;

import java.nio.file.Path;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.marjoramgw.relink.errors.RelinkException;

/**
 * Entry point of the build step: rewrites the libraries of a program in place.
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
	 * Rewrites all JARs of a directory.
	 * @param args the arguments of the command line
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
		int relinked = new LibraryRelinker(Path.of(arguments.libraries)).relink();
		System.out.println("relinked " + relinked + " lambdas in " + arguments.libraries);
	}

}
