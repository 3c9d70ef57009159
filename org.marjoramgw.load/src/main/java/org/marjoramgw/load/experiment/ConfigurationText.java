package org.marjoramgw.load.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * Operators' text of an experiment: that of the deployment with some limits replaced.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationText {

	private static final ObjectMapper MAPPER = new TomlMapper();

	private static final String LIMITS = "limits";

	/**
	 * Builds the text.
	 * @param experiment the experiment
	 * @return the TOML text
	 * @throws IOException if the deployment's text can't be read or is not TOML
	 */
	public String of(Experiment experiment) throws IOException {
		String text = Files.readString(experiment.deployment().configurationFile());
		return experiment.limits().isEmpty() ? text : withLimits(text, experiment.limits());
	}

	private static String withLimits(String text, Map<String, Object> limits) throws JsonProcessingException {
		JsonNode root = MAPPER.readTree(text);
		ObjectNode table = ((ObjectNode) root).withObjectProperty(LIMITS);
		limits.forEach((key, value) -> table.set(key, MAPPER.valueToTree(value)));
		return MAPPER.writeValueAsString(root);
	}

}
