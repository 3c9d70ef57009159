package org.marjoramgw.ctl.internal;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.operator.WhereReport;

/**
 * HTTP client of the metrics address of direct entry processes.
 *
 * @author The marjoramgw authors
 */
public final class EntryClient {

	private static final int BAD_REQUEST = 400;

	private final BlockingHttpClient httpClient;

	private final ObjectMapper mapper = OperatorJson.newMapper();

	EntryClient(BlockingHttpClient httpClient) {
		this.httpClient = httpClient;
	}

	/**
	 * Asks where a request would go.
	 * @param address metrics address of the process
	 * @param parameters names and values that describe the request
	 * @return the report
	 * @throws ProcessUnreachableException if it sent no report; its message doesn't have
	 * the parameters, which may include a key
	 */
	public WhereReport where(HostPort address, List<Map.Entry<String, String>> parameters)
			throws ProcessUnreachableException {
		try {
			HttpReply reply = this.httpClient.get("http://" + address + "/explain?" + encode(parameters));
			if (!reply.isOk()) {
				ResultCode code = (reply.status() == BAD_REQUEST) ? ResultCode.BAD_VALUE : ResultCode.INTERNAL;
				throw new ProcessUnreachableException(code,
						Messages.notExplained(address.toString(), reply.status(), reply.body()), null);
			}
			return this.mapper.readValue(reply.body(), WhereReport.class);
		}
		catch (HttpCallException | JsonProcessingException ex) {
			throw new ProcessUnreachableException(ResultCode.PROCESS_UNREACHABLE, address.toString(), ex);
		}
	}

	private static String encode(List<Map.Entry<String, String>> parameters) {
		return parameters.stream()
			.map((parameter) -> parameter.getKey() + "="
					+ URLEncoder.encode(parameter.getValue(), StandardCharsets.UTF_8))
			.collect(Collectors.joining("&"));
	}

}
