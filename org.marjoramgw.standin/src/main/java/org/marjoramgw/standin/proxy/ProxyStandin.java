package org.marjoramgw.standin.proxy;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.marjoramgw.HostPort;
import org.marjoramgw.standin.HttpStandin;
import org.marjoramgw.standin.Json;
import org.marjoramgw.standin.StandinSystem;

/**
 * Fault-injecting TCP proxy with any number of links.
 *
 * @author The marjoramgw authors
 */
public final class ProxyStandin extends HttpStandin {

	private final Map<String, Link> links = new ConcurrentSkipListMap<>();

	private ProxyStandin(StandinSystem system, ProxySettings settings) {
		super(system, settings.httpAddress());
	}

	/**
	 * Starts a proxy.
	 * @param system the shared actor system and timer
	 * @param settings its settings
	 * @return the running proxy
	 */
	public static ProxyStandin start(StandinSystem system, ProxySettings settings) {
		return startListening(new ProxyStandin(system, settings));
	}

	/**
	 * Adds a link that listens on a free port; closes an existing link of the same name.
	 * @param name name of the link
	 * @param target address that it connects to
	 * @return the link
	 * @throws IOException if no port can be bound
	 */
	public Link addLink(String name, HostPort target) throws IOException {
		Link link = new Link(name, new HostPort("127.0.0.1", 0), target);
		Link previous = this.links.put(name, link);
		if (previous != null) {
			previous.close();
		}
		return link;
	}

	/**
	 * Finds a link.
	 * @param name name of the link
	 * @return the link, or {@code null} if there is none
	 */
	public Link link(String name) {
		return this.links.get(name);
	}

	@Override
	public void close() {
		super.close();
		for (Link link : this.links.values()) {
			try {
				link.close();
			}
			catch (IOException ex) {
				// Ignored: the link is not used any more
			}
		}
	}

	@Override
	protected Route route() {
		return concat(
				path("links",
						() -> concat(get(() -> complete(Json.ok(Map.of("links", states())))),
								post(() -> entity(Unmarshaller.entityToString(), (body) -> complete(addLink(body)))))),
				path(PathMatchers.segment("links").slash(PathMatchers.segment()), (name) -> put(
						() -> entity(Unmarshaller.entityToString(), (body) -> complete(control(name, body))))));
	}

	private List<LinkState> states() {
		return this.links.values().stream().map(Link::state).toList();
	}

	private HttpResponse addLink(String body) {
		try {
			NewLinkRequest request = Json.read(body, NewLinkRequest.class);
			Link link = addLink(request.name(), HostPort.parse(request.target()));
			return Json.ok(Map.of("name", link.name(), "listen", link.address().toString()));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Json.error(400, ex.getMessage());
		}
	}

	private HttpResponse control(String name, String body) {
		Link link = link(name);
		if (link == null) {
			return Json.error(404, "no link " + name);
		}
		try {
			link.control(Json.read(body, LinkControl.class));
			return Json.ok(link.state());
		}
		catch (IOException ex) {
			return Json.error(400, ex.getMessage());
		}
	}

	private record NewLinkRequest(String name, String target) {
	}

}
