package org.marjoramgw.load.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * Configuration text of an experiment: the text of its deployment with the experiment's
 * overrides of limits and request classes applied.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationText {

	private static final TomlMapper MAPPER = new TomlMapper();

	/**
	 * Renders the configuration text.
	 * @param experiment the experiment
	 * @return the TOML text
	 * @throws IOException if the deployment's text can't be read or isn't TOML
	 */
	public String render(Experiment experiment) throws IOException {
		String text = Files.readString(experiment.deployment().configurationFile());
		if (experiment.limitOverrides().isEmpty() && experiment.classOverrides().isEmpty()) {
			return text;
		}
		return applyOverrides(text,
				Map.of("limits", experiment.limitOverrides(), "classes", experiment.classOverrides()));
	}

	private static String applyOverrides(String text, Map<String, Object> replacements) throws IOException {
		JsonNode root = MAPPER.readTree(text);
		MAPPER.readerForUpdating(root).readValue(MAPPER.<JsonNode>valueToTree(replacements));
		return MAPPER.writeValueAsString(root);
	}

}
