package org.marjoramgw.ctl.internal;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectWriter;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.settings.Problem;

/**
 * Place where a command writes its result, its warnings and its errors.
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
	 * @param out where results go
	 * @param err where warnings and errors go
	 * @param json whether results are written as JSON
	 */
	public Console(PrintStream out, PrintStream err, boolean json) {
		this.out = out;
		this.err = err;
		this.json = json;
	}

	/**
	 * Writes the result of a command in the form that was asked for.
	 * @param value the result as a value, for programs
	 * @param text the same for people
	 */
	public void result(Object value, String text) {
		this.out.println(this.json ? toJson(value) : text);
	}

	/**
	 * Writes the result of a command that failed: for people as an error.
	 * @param value the result as a value, for programs
	 * @param text the same for people
	 */
	public void failure(Object value, String text) {
		if (this.json) {
			this.out.println(toJson(value));
		}
		error(text);
	}

	/**
	 * Writes a note for people beside a result that is a text of its own.
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
	 * Writes every mistake of a text, with its remedy.
	 * @param problems the mistakes
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
