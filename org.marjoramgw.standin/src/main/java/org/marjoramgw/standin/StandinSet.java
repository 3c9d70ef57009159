package org.marjoramgw.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.marjoramgw.HostPort;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.engine.EngineSettings;
import org.marjoramgw.standin.engine.EngineStandin;
import org.marjoramgw.standin.log.LogSettings;
import org.marjoramgw.standin.log.LogStandin;
import org.marjoramgw.standin.plainservice.PlainSettings;
import org.marjoramgw.standin.plainservice.PlainStandin;
import org.marjoramgw.standin.proxy.ProxySettings;
import org.marjoramgw.standin.proxy.ProxyStandin;
import org.marjoramgw.standin.vmlist.VmListSettings;
import org.marjoramgw.standin.vmlist.VmListStandin;
import org.marjoramgw.standin.weightstore.WeightStoreSettings;
import org.marjoramgw.standin.weightstore.WeightStoreStandin;

/**
 * Stand-ins to start in one process, with their parsed settings.
 *
 * @author The marjoramgw authors
 */
final class StandinSet {

	private static final String HTTP = "http";

	private final List<Starter> starters = new ArrayList<>();

	private StandinSet() {
	}

	/**
	 * Reads the settings. For a single stand-in they are in the root table; for
	 * {@link StandinKind#ALL} they are in the tables {@code log}, {@code vmlist},
	 * {@code weights}, {@code proxy}, {@code engine.NAME} and {@code plain.NAME}.
	 * @param kind kind of the stand-in to start
	 * @param settings root table
	 * @return the stand-ins, not yet started
	 */
	static StandinSet read(StandinKind kind, TomlTable settings) {
		StandinSet set = new StandinSet();
		if (kind != StandinKind.ALL) {
			set.starters.add(starter(HTTP, kind, settings));
			return set;
		}
		for (StandinKind platformKind : List.of(StandinKind.LOG, StandinKind.VMLIST, StandinKind.WEIGHTS,
				StandinKind.PROXY)) {
			TomlTable table = settings.table(platformKind.commandName());
			set.starters.add(starter(platformKind.commandName(), platformKind, table));
			table.reportUnknownKeys();
		}
		settings.namedTables("engine", (name, table) -> EngineSettings.read(table))
			.forEach((name, engine) -> set.starters.add(engine("engine." + name, engine)));
		settings.namedTables("plain", (name, table) -> PlainSettings.read(table))
			.forEach((name, plain) -> set.starters.add(plain("plain." + name, plain)));
		return set;
	}

	/**
	 * Starts the stand-ins.
	 * @param system the shared actor system and timer
	 * @return the bound addresses by name
	 */
	Map<String, HostPort> start(StandinSystem system) {
		Map<String, HostPort> addresses = new TreeMap<>();
		this.starters.forEach((starter) -> starter.start(system, addresses));
		return addresses;
	}

	private static Starter starter(String name, StandinKind kind, TomlTable table) {
		return switch (kind) {
			case ENGINE -> engine(name, EngineSettings.read(table));
			case PLAIN -> plain(name, PlainSettings.read(table));
			case LOG -> log(name, LogSettings.read(table));
			case VMLIST -> vmList(name, VmListSettings.read(table));
			case WEIGHTS -> weights(name, WeightStoreSettings.read(table));
			case PROXY -> proxy(name, ProxySettings.read(table));
			case ALL -> throw new IllegalArgumentException(name);
		};
	}

	private static Starter engine(String name, EngineSettings settings) {
		return (system, addresses) -> {
			EngineStandin engine = EngineStandin.start(system, settings);
			addresses.put(name, engine.address());
			addresses.put(name.equals(HTTP) ? "control" : name + ".control", engine.controlAddress());
		};
	}

	private static Starter plain(String name, PlainSettings settings) {
		return (system, addresses) -> addresses.put(name, PlainStandin.start(system, settings).address());
	}

	private static Starter log(String name, LogSettings settings) {
		return (system, addresses) -> addresses.put(name, LogStandin.start(system, settings).address());
	}

	private static Starter vmList(String name, VmListSettings settings) {
		return (system, addresses) -> addresses.put(name, VmListStandin.start(system, settings).address());
	}

	private static Starter weights(String name, WeightStoreSettings settings) {
		return (system, addresses) -> addresses.put(name, WeightStoreStandin.start(system, settings).address());
	}

	private static Starter proxy(String name, ProxySettings settings) {
		return (system, addresses) -> addresses.put(name, ProxyStandin.start(system, settings).address());
	}

	@FunctionalInterface
	private interface Starter {

		void start(StandinSystem system, Map<String, HostPort> addresses);

	}

}
