package org.marjoramgw.ctl.internal;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.settings.Problem;

/**
 * Output of a command: result, warnings and errors.
 *
 * @author The marjoramgw authors
 */
public final class Console {

	private final PrintStream out;

	private final PrintStream err;

	private final boolean json;

	private final ObjectWriter writer = OperatorJson.newMapper().writerWithDefaultPrettyPrinter();

	/**
	 * Creates a console.
	 * @param out stream for results
	 * @param err stream for notes, warnings and errors
	 * @param json whether results are written as JSON
	 */
	public Console(PrintStream out, PrintStream err, boolean json) {
		this.out = out;
		this.err = err;
		this.json = json;
	}

	/**
	 * Writes the result of a command, as JSON or as text.
	 * @param value value to write as JSON
	 * @param text the same result as text
	 */
	public void result(Object value, String text) {
		this.out.println(this.json ? toJson(value) : text);
	}

	/**
	 * Writes the result of a command that failed: the value, if JSON was requested, and
	 * the text as an error in any case.
	 * @param value value to write as JSON
	 * @param text the same result as text
	 */
	public void failure(Object value, String text) {
		if (this.json) {
			this.out.println(toJson(value));
		}
		error(text);
	}

	/**
	 * Writes a note about the result to the error stream, unless JSON was requested. It
	 * is for results that are printed verbatim, such as a configuration text.
	 * @param text the note
	 */
	public void note(String text) {
		if (!this.json) {
			this.err.println(text);
		}
	}

	/**
	 * Writes a warning.
	 * @param text the warning
	 */
	public void warning(String text) {
		this.err.println(Messages.warning(text));
	}

	/**
	 * Writes an error.
	 * @param text the error
	 */
	public void error(String text) {
		this.err.println(Messages.error(text));
	}

	/**
	 * Writes all problems of a file, each with a remedy.
	 * @param problems the problems
	 */
	public void problems(List<Problem> problems) {
		if (this.json) {
			this.out.println(toJson(new CheckReport(problems)));
		}
		problems.forEach((problem) -> this.err.println(Messages.problem(problem)));
	}

	private String toJson(Object value) {
		try {
			return this.writer.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
