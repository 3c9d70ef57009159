package org.marjoramgw.program;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.HostPort;

/**
 * Line on standard output that announces that a program is ready, with the addresses on
 * which it listens.
 * <p>
 * Example: {@code {"event":"ready","http":"127.0.0.1:8080","peer":"127.0.0.1:9090"}}.
 *
 * @author The marjoramgw authors
 */
public final class ReadyLine {

	private ReadyLine() {
	}

	/**
	 * Prints the line.
	 * @param addresses bound addresses by name, for example {@code http} or {@code peer}
	 */
	public static void print(Map<String, HostPort> addresses) {
		Map<String, String> line = new TreeMap<>();
		line.put("event", "ready");
		addresses.forEach((name, address) -> line.put(name, address.toString()));
		try {
			System.out.println(new ObjectMapper().writeValueAsString(line));
			System.out.flush();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
