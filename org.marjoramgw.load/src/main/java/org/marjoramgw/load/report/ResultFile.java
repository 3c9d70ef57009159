package org.marjoramgw.load.report;

import java.io.IOException;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.marjoramgw.load.measure.ExperimentResult;

/**
 * JSON file with the result of a run.
 *
 * @author The marjoramgw authors
 */
public final class ResultFile {

	private final ObjectMapper mapper = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.enable(SerializationFeature.INDENT_OUTPUT)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final Path path;

	/**
	 * Creates a result file.
	 * @param path path of the file
	 */
	public ResultFile(Path path) {
		this.path = path;
	}

	/**
	 * Writes a result.
	 * @param result the result
	 * @throws IOException if the file can't be written
	 */
	public void write(ExperimentResult result) throws IOException {
		this.mapper.writeValue(this.path.toFile(), result);
	}

	/**
	 * Reads a result.
	 * @return the result
	 * @throws IOException if the file can't be read or doesn't contain a result
	 */
	public ExperimentResult read() throws IOException {
		return this.mapper.readValue(this.path.toFile(), ExperimentResult.class);
	}

}
