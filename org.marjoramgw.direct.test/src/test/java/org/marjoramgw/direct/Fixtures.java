package org.marjoramgw.direct;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import org.marjoramgw.HostPort;
import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.follow.ActiveRouting;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.direct.forward.Admission;
import org.marjoramgw.direct.model.Account;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.model.RequestKind;
import org.marjoramgw.direct.model.Route;
import org.marjoramgw.direct.model.Routing;
import org.marjoramgw.direct.model.WeightedService;

/**
 * Shared test fixtures.
 *
 * @author The marjoramgw authors
 */
public final class Fixtures {

	/** Host name of all routes. */
	public static final String HOST = "carob.example";

	/** Key of the client account. */
	public static final String KEY = "key-1";

	private Fixtures() {
	}

	/**
	 * Creates a route.
	 * @param pathPrefix path prefix
	 * @param kind kind of the requests
	 * @param maxAttempts maximum number of servers that may run a request
	 * @param anonymous whether requests are admitted without a key
	 * @return the route
	 */
	public static Route route(String pathPrefix, RequestKind kind, int maxAttempts, boolean anonymous) {
		return new Route("r" + pathPrefix, HOST, pathPrefix, kind, false, anonymous, 2_000, 300, Long.MAX_VALUE, 0, 1,
				maxAttempts, List.of(new WeightedService("trade", 1)));
	}

	/**
	 * Creates a configuration with one account.
	 * @param version version of the configuration
	 * @param routes routes of the configuration
	 * @return the configuration
	 */
	public static Routing routing(long version, Route... routes) {
		return new Routing(version, List.of(routes), Map.of(KEY, new Account("coop", OptionalInt.empty())), true,
				CallerLimits.DEFAULT, Map.of());
	}

	/**
	 * Creates a caller's request.
	 * @param path path of the request
	 * @param key key of the client account, or {@code null}
	 * @return the request
	 */
	public static CallerRequest request(String path, String key) {
		return new CallerRequest("id-1", HOST, path, OptionalLong.of(2_000), Optional.ofNullable(key), "", List.of(), 0,
				0, Optional.empty());
	}

	/**
	 * Creates a record with a text value.
	 * @param key key of the record
	 * @param text the value, or {@code null} if the key is deleted
	 * @param offset offset of the record
	 * @return the record
	 */
	public static KeyedRecord record(String key, String text, long offset) {
		return new KeyedRecord(key, Optional.ofNullable(text).map((value) -> value.getBytes(StandardCharsets.UTF_8)),
				offset);
	}

	/**
	 * Decodes a registration that consists of the state only; its service is
	 * {@code trade}.
	 * @param id id of the server
	 * @param value {@code ready}, {@code draining} or anything else
	 * @return the server, or empty if the value is neither
	 */
	public static Optional<BackendServer> server(String id, byte[] value) {
		String state = new String(value, StandardCharsets.UTF_8);
		if (!state.equals("ready") && !state.equals("draining")) {
			return Optional.empty();
		}
		return Optional.of(new BackendServer(id, "trade", new HostPort("127.0.0.1", 1), "a", 4, "v1", 0,
				state.equals("draining")));
	}

	/**
	 * Creates an admission check without further reads of the store.
	 * @param routing the configuration
	 * @param maxAgeMillis maximum age of its confirmation, in milliseconds
	 * @return the check
	 */
	public static Admission admission(ActiveRouting routing, long maxAgeMillis) {
		return new Admission(routing, () -> maxAgeMillis, () -> maxAgeMillis,
				() -> CompletableFuture.completedFuture(true));
	}

}
