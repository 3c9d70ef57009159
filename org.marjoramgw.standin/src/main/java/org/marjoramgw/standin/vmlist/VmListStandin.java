package org.marjoramgw.standin.vmlist;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.apache.pekko.http.javadsl.unmarshalling.Unmarshaller;
import org.marjoramgw.standin.HttpStandin;
import org.marjoramgw.standin.Json;
import org.marjoramgw.standin.LaggingValue;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.vmlist.Vm;

/**
 * VM list stand-in that simulates lag and outages.
 *
 * @author The marjoramgw authors
 */
public final class VmListStandin extends HttpStandin {

	private final LaggingValue<List<Vm>> vms;

	private final AtomicLong readCount = new AtomicLong();

	private volatile boolean outage;

	private VmListStandin(StandinSystem system, VmListSettings settings) {
		super(system, settings.httpAddress());
		this.vms = new LaggingValue<>(system.clock(), List.of(), settings.lagMillis());
	}

	/**
	 * Starts a stand-in.
	 * @param system the shared actor system and timer
	 * @param settings its settings
	 * @return the running stand-in
	 */
	public static VmListStandin start(StandinSystem system, VmListSettings settings) {
		return startListening(new VmListStandin(system, settings));
	}

	/**
	 * Applies fault settings.
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
	 * Adds a VM or replaces the one with the same id.
	 * @param vm the VM
	 */
	public synchronized void putVm(Vm vm) {
		Map<String, Vm> byId = byId();
		byId.put(vm.id(), vm);
		this.vms.set(List.copyOf(byId.values()));
	}

	/**
	 * Removes a VM.
	 * @param id id of the VM
	 */
	public synchronized void removeVm(String id) {
		Map<String, Vm> byId = byId();
		byId.remove(id);
		this.vms.set(List.copyOf(byId.values()));
	}

	/**
	 * Returns the number of reads since the start, including those during an outage.
	 * @return the number of reads
	 */
	public long readCount() {
		return this.readCount.get();
	}

	private Map<String, Vm> byId() {
		Map<String, Vm> byId = new LinkedHashMap<>();
		this.vms.latest().forEach((vm) -> byId.put(vm.id(), vm));
		return byId;
	}

	@Override
	protected Route route() {
		return concat(path("vms", () -> get(() -> extractRequest((request) -> complete(listVms(request))))),
				path(PathMatchers.segment("vms").slash(PathMatchers.segment()), this::vmRoute),
				controlRoute(VmListControl.class, this::control));
	}

	private Route vmRoute(String id) {
		return concat(
				put(() -> entity(Unmarshaller.entityToString(),
						(body) -> complete(Json.accept(body, Vm.class, this::putVm)))),
				delete(() -> complete(deleteVm(id))));
	}

	private HttpResponse listVms(HttpRequest request) {
		this.readCount.incrementAndGet();
		if (this.outage) {
			return Json.error(503, "outage");
		}
		LaggingValue.Version<List<Vm>> visible = this.vms.visible();
		String entityTag = "\"" + visible.setAtMillis() + "-" + Integer.toHexString(visible.value().hashCode()) + "\"";
		boolean unchanged = request.getHeader("If-None-Match")
			.filter((header) -> header.value().equals(entityTag))
			.isPresent();
		HttpResponse response = unchanged ? HttpResponse.create().withStatus(StatusCodes.NOT_MODIFIED)
				: Json.ok(Map.of("vms", visible.value()));
		return response.addHeader(RawHeader.create("ETag", entityTag));
	}

	private HttpResponse deleteVm(String id) {
		removeVm(id);
		return Json.ok(Map.of());
	}

}
