package org.marjoramgw.standin;

import java.util.function.Consumer;

import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.marjoramgw.HostPort;

/**
 * Base class of stand-ins with one HTTP endpoint.
 *
 * @author The marjoramgw authors
 */
public abstract class HttpStandin extends AllDirectives implements Standin {

	private final StandinSystem system;

	private final HostPort httpAddress;

	private HttpEndpoint endpoint;

	/**
	 * Creates a stand-in that is not listening yet.
	 * @param system the shared actor system and timer
	 * @param httpAddress address to bind; port 0 selects a free port
	 */
	protected HttpStandin(StandinSystem system, HostPort httpAddress) {
		this.system = system;
		this.httpAddress = httpAddress;
	}

	/**
	 * Starts listening. This can't be done in the constructor, as a request could arrive
	 * before the fields of the subclass are set.
	 * @param <T> type of the stand-in
	 * @param standin the stand-in
	 * @return the given stand-in
	 */
	protected static <T extends HttpStandin> T startListening(T standin) {
		HttpStandin base = standin;
		base.endpoint = new HttpEndpoint(base.system, base.httpAddress, standin.route());
		return standin;
	}

	@Override
	public HostPort address() {
		return this.endpoint.address();
	}

	@Override
	public void close() {
		this.endpoint.close();
	}

	/**
	 * Returns the routes of the endpoint.
	 * @return the routes
	 */
	protected abstract Route route();

	/**
	 * Returns the actor system and timer shared by the stand-ins of the process.
	 * @return the shared actor system and timer
	 */
	protected StandinSystem system() {
		return this.system;
	}

	/**
	 * Creates the route of {@code PUT /control}, which sets faults.
	 * @param <T> type of the request body
	 * @param type class of the request body
	 * @param action applies the faults
	 * @return the route
	 */
	protected <T> Route controlRoute(Class<T> type, Consumer<T> action) {
		return path("control", () -> put(
				() -> entity(Unmarshaller.entityToString(), (body) -> complete(Json.accept(body, type, action)))));
	}

}
