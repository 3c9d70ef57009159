package org.marjoramgw.docs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.ctl.internal.ClientSettings;
import org.marjoramgw.direct.DirectSettings;
import org.marjoramgw.entry.EntrySettings;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.settings.Problem;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.side.SideSettings;
import org.marjoramgw.standin.engine.EngineSettings;
import org.marjoramgw.standin.log.LogSettings;
import org.marjoramgw.standin.plainservice.PlainSettings;
import org.marjoramgw.standin.proxy.ProxySettings;
import org.marjoramgw.standin.vmlist.VmListSettings;
import org.marjoramgw.standin.weightstore.WeightStoreSettings;

/**
 * Valid text for one reader of settings, with as few keys as it takes, in which a key can
 * be set or left out.
 *
 * @author The marjoramgw authors
 */
final class SettingsDocument {

	private static final Map<String, Reader> READERS = Map.of("EntrySettings", EntrySettings::read, "SideSettings",
			SideSettings::read, "ClientSettings", ClientSettings::read, "LogSettings", LogSettings::read,
			"VmListSettings", VmListSettings::read, "EngineSettings", EngineSettings::read, "PlainSettings",
			PlainSettings::read, "WeightStoreSettings", WeightStoreSettings::read, "ProxySettings", ProxySettings::read,
			"DirectSettings", DirectSettings::of);

	private static final String CONFIGURATION = "ConfigurationParser";

	private final String reader;

	private final Map<String, Map<String, String>> tables = new LinkedHashMap<>();

	/**
	 * Creates a text.
	 * @param reader simple name of the class that reads it
	 */
	SettingsDocument(String reader) {
		this.reader = reader;
		if (CONFIGURATION.equals(reader)) {
			put("[services.NAME]", "pool", "\"p\"");
			put("[services.NAME]", "models", "[\"m\"]");
			put("[classes.NAME]", "tier", "1");
			put("[classes.NAME]", "completion_ms", "5000");
			put("[accounts.NAME]", "key_sha256", "\"" + "a1".repeat(32) + "\"");
			put("[[rules]]", "path_prefix", "\"/\"");
			put("[[rules]]", "class", "\"NAME\"");
		}
		else if ("DirectSettings".equals(reader)) {
			putDirect();
		}
		else if (List.of("EntrySettings", "SideSettings").contains(reader)) {
			for (String key : List.of("process_id", "failure_domain", "peer_token", "operator_token", "log_url",
					"vm_list_url")) {
				put("", key, "\"x\"");
			}
			put("", "http_address", "\"127.0.0.1:0\"");
			if ("SideSettings".equals(reader)) {
				put("", "peer_address", "\"127.0.0.1:0\"");
				put("", "pool", "\"x\"");
				put("", "backend_url", "\"x\"");
			}
		}
	}

	private void putDirect() {
		for (String key : List.of("process_id", "failure_domain", "health_path")) {
			put("", key, "\"x\"");
		}
		for (String key : List.of("callers_address", "health_address", "metrics_address", "store_address")) {
			put("", key, "\"127.0.0.1:0\"");
		}
	}

	/**
	 * Sets a key.
	 * @param table heading of the table, empty for the root
	 * @param key the key
	 * @param value its value in TOML
	 * @return this text
	 */
	SettingsDocument put(String table, String key, String value) {
		this.tables.computeIfAbsent(table, (name) -> new LinkedHashMap<>()).put(key, value);
		return this;
	}

	/**
	 * Leaves a key out.
	 * @param table heading of the table, empty for the root
	 * @param key the key
	 * @return this text
	 */
	SettingsDocument remove(String table, String key) {
		this.tables.getOrDefault(table, new LinkedHashMap<>()).remove(key);
		return this;
	}

	/**
	 * Reads the text as its program does.
	 * @return the settings, which equal others with the same values
	 * @throws InvalidTomlException if the text has mistakes
	 */
	Object read() throws InvalidTomlException {
		if (CONFIGURATION.equals(this.reader)) {
			return new ConfigurationParser().parse("page", 0, text());
		}
		TomlTable root = TomlTable.ofText("page", text());
		Object settings = READERS.get(this.reader).read(root);
		root.throwIfInvalid();
		return settings;
	}

	/**
	 * Reads the text and returns what is wrong with it.
	 * @return the mistakes, none if the text is valid
	 */
	List<Problem> problems() {
		try {
			read();
			return List.of();
		}
		catch (InvalidTomlException ex) {
			return ex.problems();
		}
	}

	private String text() {
		StringBuilder text = new StringBuilder();
		this.tables.forEach((heading, values) -> {
			text.append(heading).append('\n');
			values.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
		});
		return text.toString();
	}

	@FunctionalInterface
	private interface Reader {

		Object read(TomlTable root) throws InvalidTomlException;

	}

}
