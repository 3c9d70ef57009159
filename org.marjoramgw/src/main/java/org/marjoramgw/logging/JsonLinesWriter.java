package org.marjoramgw.logging;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Tinylog writer that prints log entries as JSON lines on standard output, since the VMs
 * have no disks.
 * <p>
 * The property {@code stream} with the value {@code err} selects standard error, for
 * commands that print their result on standard output.
 *
 * @author The marjoramgw authors
 */
public final class JsonLinesWriter implements Writer {

	private final ObjectMapper mapper = new ObjectMapper();

	private final PrintStream out;

	/**
	 * {@code null} for commands: they log few lines, which must be printed before they
	 * exit.
	 */
	private final AsyncLinePrinter asyncPrinter;

	/**
	 * Creates a writer; tinylog calls this constructor.
	 * @param properties the properties of the writer
	 */
	public JsonLinesWriter(Map<String, String> properties) {
		boolean toStandardError = "err".equals(properties.get("stream"));
		this.out = toStandardError ? System.err : System.out;
		this.asyncPrinter = toStandardError ? null : new AsyncLinePrinter(this.out);
	}

	@Override
	public Collection<LogEntryValue> getRequiredLogEntryValues() {
		return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.CLASS, LogEntryValue.MESSAGE,
				LogEntryValue.EXCEPTION);
	}

	@Override
	public void write(LogEntry entry) throws IOException {
		ObjectNode line = this.mapper.createObjectNode();
		line.put("time", entry.getTimestamp().toInstant().toString());
		line.put("level", entry.getLevel().name());
		line.put("logger", entry.getClassName());
		line.put("message", entry.getMessage());
		if (entry.getException() != null) {
			line.put("error", stackTrace(entry.getException()));
		}
		print(this.mapper.writeValueAsString(line));
	}

	@Override
	public void flush() {
		this.out.flush();
	}

	private void print(String line) {
		if (this.asyncPrinter != null) {
			this.asyncPrinter.print(line);
		}
		else {
			this.out.println(line);
		}
	}

	@Override
	public void close() {
		if (this.asyncPrinter != null) {
			this.asyncPrinter.close();
		}
		this.out.flush();
	}

	private static String stackTrace(Throwable exception) {
		StringWriter text = new StringWriter();
		exception.printStackTrace(new PrintWriter(text));
		return text.toString();
	}

}
