package org.marjoramgw.standin;

import java.util.function.Consumer;

import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.marjoramgw.HostPort;

/**
 * Stand-in with one HTTP endpoint.
 *
 * @author The marjoramgw authors
 */
public abstract class HttpStandin extends AllDirectives implements Standin {

	private final StandinSystem system;

	private final HostPort httpAddress;

	private HttpEndpoint endpoint;

	/**
	 * Creates a stand-in that doesn't listen yet.
	 * @param system the shared threads
	 * @param httpAddress address to listen to; port 0 takes a free one
	 */
	protected HttpStandin(StandinSystem system, HostPort httpAddress) {
		this.system = system;
		this.httpAddress = httpAddress;
	}

	/**
	 * Lets a stand-in listen, which a constructor can't do: a request could come before
	 * the fields are set.
	 * @param <T> type of the stand-in
	 * @param standin the stand-in
	 * @return the same, listening
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
	 * Returns what it answers.
	 * @return the routes of its endpoint
	 */
	protected abstract Route route();

	/**
	 * Returns the threads that it shares with others.
	 * @return the shared threads
	 */
	protected StandinSystem system() {
		return this.system;
	}

	/**
	 * Makes the route of {@code PUT /control}.
	 * @param <T> type of the faults
	 * @param type class of the faults
	 * @param action changes the faults
	 * @return the route
	 */
	protected <T> Route controlRoute(Class<T> type, Consumer<T> action) {
		return path("control", () -> put(
				() -> entity(Unmarshaller.entityToString(), (body) -> complete(Json.accept(body, type, action)))));
	}

}
