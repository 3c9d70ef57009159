package org.marjoramgw.docs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.ctl.internal.ClientSettings;
import org.marjoramgw.direct.DirectSettings;
import org.marjoramgw.entry.EntrySettings;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.http.CallerSettings;
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
 * Minimal valid settings or configuration text for one reader, in which tests set or
 * remove single keys.
 *
 * @author The marjoramgw authors
 */
final class SettingsDocument {

	private static final Map<String, Reader> READERS = Map.ofEntries(Map.entry("EntrySettings", EntrySettings::read),
			Map.entry("SideSettings", SideSettings::read), Map.entry("CallerSettings", SettingsDocument::readCallers),
			Map.entry("ClientSettings", ClientSettings::read), Map.entry("LogSettings", LogSettings::read),
			Map.entry("VmListSettings", VmListSettings::read), Map.entry("EngineSettings", EngineSettings::read),
			Map.entry("PlainSettings", PlainSettings::read),
			Map.entry("WeightStoreSettings", WeightStoreSettings::read),
			Map.entry("ProxySettings", ProxySettings::read), Map.entry("DirectSettings", DirectSettings::of));

	private static final String CONFIGURATION = "ConfigurationParser";

	private final String reader;

	private final Map<String, Map<String, String>> tables = new LinkedHashMap<>();

	/**
	 * Creates a document with the required keys of a reader.
	 * @param reader simple name of the class that reads the document
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

	private static CallerSettings readCallers(TomlTable root) throws InvalidTomlException {
		CallerSettings settings = CallerSettings.read(root);
		root.throwIfInvalid();
		return settings;
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
	 * @param table heading of the table, empty for the root table
	 * @param key the key
	 * @param value TOML value of the key
	 * @return this document
	 */
	SettingsDocument put(String table, String key, String value) {
		this.tables.computeIfAbsent(table, (name) -> new LinkedHashMap<>()).put(key, value);
		return this;
	}

	/**
	 * Removes a key.
	 * @param table heading of the table, empty for the root table
	 * @param key the key
	 * @return this document
	 */
	SettingsDocument remove(String table, String key) {
		this.tables.getOrDefault(table, new LinkedHashMap<>()).remove(key);
		return this;
	}

	/**
	 * Parses the document with its reader, as the program does.
	 * @return the settings or configuration; equal for documents with equal values
	 * @throws InvalidTomlException if the document is invalid
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
	 * Parses the document and returns its problems.
	 * @return the problems, empty if the document is valid
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
