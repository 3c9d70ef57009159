package org.marjoramgw.standin.vmlist;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.marjoramgw.HostPort;
import org.marjoramgw.standin.HttpEndpoint;
import org.marjoramgw.standin.Json;
import org.marjoramgw.standin.LaggingValue;
import org.marjoramgw.standin.Standin;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.vmlist.Vm;

/**
 * VM list stand-in that lags and has outages.
 *
 * @author The marjoramgw authors
 */
public final class VmListStandin extends AllDirectives implements Standin {

	private final LaggingValue<List<Vm>> vms;

	private final HttpEndpoint endpoint;

	private final AtomicLong readCount = new AtomicLong();

	private volatile boolean outage;

	private VmListStandin(StandinSystem system, VmListSettings settings) {
		this.vms = new LaggingValue<>(system.clock(), List.of(), settings.lagMillis());
		this.endpoint = new HttpEndpoint(system, settings.httpAddress(), route());
	}

	/**
	 * Starts a stand-in.
	 * @param system the shared threads
	 * @param settings its settings
	 * @return the running stand-in
	 */
	public static VmListStandin start(StandinSystem system, VmListSettings settings) {
		return new VmListStandin(system, settings);
	}

	/**
	 * Changes its faults.
	 * @param control the faults
	 */
	public void control(VmListControl control) {
		if (control.outage() != null) {
			this.outage = control.outage();
		}
		if (control.lagMs() != null) {
			this.vms.setLagMillis(control.lagMs());
		}
	}

	/**
	 * Writes a VM.
	 * @param vm the VM, which replaces the one with the same id
	 */
	public synchronized void write(Vm vm) {
		Map<String, Vm> byId = byId();
		byId.put(vm.id(), vm);
		this.vms.set(List.copyOf(byId.values()));
	}

	/**
	 * Removes a VM.
	 * @param id id of the VM
	 */
	public synchronized void remove(String id) {
		Map<String, Vm> byId = byId();
		byId.remove(id);
		this.vms.set(List.copyOf(byId.values()));
	}

	/**
	 * Returns the reads since the start.
	 * @return the number of reads, also of those in an outage
	 */
	public long readCount() {
		return this.readCount.get();
	}

	@Override
	public HostPort address() {
		return this.endpoint.address();
	}

	@Override
	public void close() {
		this.endpoint.close();
	}

	private Map<String, Vm> byId() {
		Map<String, Vm> byId = new LinkedHashMap<>();
		this.vms.newest().forEach((vm) -> byId.put(vm.id(), vm));
		return byId;
	}

	private Route route() {
		return concat(path("vms", () -> get(() -> extractRequest((request) -> complete(list(request))))), path(
				PathMatchers.segment("vms").slash(PathMatchers.segment()),
				(id) -> concat(put(() -> entity(Unmarshaller.entityToString(), (body) -> complete(write(body)))),
						delete(() -> complete(removed(id))))),
				path("control",
						() -> put(() -> entity(Unmarshaller.entityToString(), (body) -> complete(control(body))))));
	}

	private HttpResponse list(HttpRequest request) {
		this.readCount.incrementAndGet();
		if (this.outage) {
			return Json.error(503, "outage");
		}
		LaggingValue.Version<List<Vm>> seen = this.vms.seen();
		String tag = "\"" + seen.sinceMillis() + "-" + Integer.toHexString(seen.value().hashCode()) + "\"";
		boolean unchanged = request.getHeader("If-None-Match")
			.filter((header) -> header.value().equals(tag))
			.isPresent();
		HttpResponse response = unchanged ? HttpResponse.create().withStatus(StatusCodes.NOT_MODIFIED)
				: Json.ok(Map.of("vms", seen.value()));
		return response.addHeader(RawHeader.create("ETag", tag));
	}

	private HttpResponse write(String body) {
		try {
			write(Json.read(body, Vm.class));
			return Json.ok(Map.of());
		}
		catch (JsonProcessingException ex) {
			return Json.error(400, ex.getOriginalMessage());
		}
	}

	private HttpResponse removed(String id) {
		remove(id);
		return Json.ok(Map.of());
	}

	private HttpResponse control(String body) {
		try {
			control(Json.read(body, VmListControl.class));
			return Json.ok(Map.of());
		}
		catch (JsonProcessingException ex) {
			return Json.error(400, ex.getOriginalMessage());
		}
	}

}
