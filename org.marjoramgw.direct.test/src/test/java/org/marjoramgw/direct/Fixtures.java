package org.marjoramgw.direct;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.model.RequestKind;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.direct.model.WeightedService;

/**
 * Values that the tests share.
 *
 * @author The marjoramgw authors
 */
public final class Fixtures {

	/** Host of all routes. */
	public static final String HOST = "carob.example";

	/** Key of the only client account. */
	public static final String KEY = "key-1";

	private Fixtures() {
	}

	/**
	 * Makes a route.
	 * @param pathPrefix its paths
	 * @param kind what may be repeated
	 * @param maxAttempts servers that may run a request
	 * @param anonymous whether it needs no key
	 * @return the route
	 */
	public static Route route(String pathPrefix, RequestKind kind, int maxAttempts, boolean anonymous) {
		return new Route("r" + pathPrefix, HOST, pathPrefix, kind, false, anonymous, 2_000, 300, 1, maxAttempts,
				List.of(new WeightedService("trade", 1)));
	}

	/**
	 * Makes a configuration with one account.
	 * @param version its version
	 * @param routes its routes
	 * @return the configuration
	 */
	public static Routing routing(long version, Route... routes) {
		return new Routing(version, List.of(routes), Map.of(KEY, new Account("coop", OptionalInt.empty())), true,
				CallerLimits.DEFAULT);
	}

	/**
	 * Makes a caller's request.
	 * @param path its path
	 * @param key its key, or {@code null}
	 * @return the request
	 */
	public static CallerRequest request(String path, String key) {
		return new CallerRequest("id-1", HOST, path, OptionalLong.of(2_000), Optional.ofNullable(key), List.of(), 0);
	}

	/**
	 * Makes a record whose value is text.
	 * @param key its key
	 * @param text the value, or {@code null} if the key is deleted
	 * @param offset its offset
	 * @return the record
	 */
	public static KeyedRecord record(String key, String text, long offset) {
		return new KeyedRecord(key, Optional.ofNullable(text).map((value) -> value.getBytes(StandardCharsets.UTF_8)),
				offset);
	}

	/**
	 * Decodes a registration of the form {@code state} with the service {@code trade}.
	 * @param id id of the server
	 * @param value {@code ready}, {@code draining} or anything else
	 * @return the server, or empty if the value is neither
	 */
	public static Optional<BackendServer> server(String id, byte[] value) {
		String state = new String(value, StandardCharsets.UTF_8);
		if (!state.equals("ready") && !state.equals("draining")) {
			return Optional.empty();
		}
		return Optional
			.of(new BackendServer(id, "trade", new HostPort("127.0.0.1", 1), "a", 4, state.equals("draining")));
	}

}
