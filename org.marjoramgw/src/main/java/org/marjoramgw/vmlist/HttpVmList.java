package org.marjoramgw.vmlist;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.VmListUnavailableException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;

/**
 * HTTP client of the VM list. Conditional requests avoid transferring an unchanged list.
 *
 * @author The marjoramgw authors
 */
public final class HttpVmList implements VmList {

	private static final int NOT_MODIFIED = 304;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.build();

	private final BlockingHttpClient caller;

	private final String baseUrl;

	private String etag = "";

	private List<Vm> lastList = List.of();

	/**
	 * Creates a client.
	 * @param caller the HTTP client
	 * @param baseUrl base URL of the VM list without a trailing slash
	 */
	public HttpVmList(BlockingHttpClient caller, String baseUrl) {
		this.caller = caller;
		this.baseUrl = baseUrl;
	}

	@Override
	public synchronized List<Vm> read() throws VmListUnavailableException {
		HttpReply reply = get(this.baseUrl + "/vms");
		if (reply.status() == NOT_MODIFIED && !this.etag.isEmpty()) {
			return this.lastList;
		}
		if (!reply.isOk()) {
			throw new VmListUnavailableException("returned status " + reply.status(), null);
		}
		try {
			this.lastList = MAPPER.readValue(reply.body(), VmListResponse.class)
				.vms()
				.stream()
				.filter(Objects::nonNull)
				.toList();
			this.etag = reply.etag();
			return this.lastList;
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			throw new VmListUnavailableException("malformed response", ex);
		}
	}

	private HttpReply get(String uri) throws VmListUnavailableException {
		try {
			return this.caller.getIfChanged(uri, this.etag);
		}
		catch (HttpCallException ex) {
			throw new VmListUnavailableException(uri, ex);
		}
	}

	/**
	 * Body of a response with the list.
	 *
	 * @param vms the VMs
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	private record VmListResponse(@JsonProperty(value = "vms", required = true) List<Vm> vms) {
	}

}
