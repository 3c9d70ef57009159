package org.marjoramgw.ctl.internal;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.operator.ProcessReport;
import org.marjoramgw.trace.Decision;

/**
 * HTTP client of the operators' endpoint of the processes.
 *
 * @author The marjoramgw authors
 */
public final class ProcessClient {

	private static final int UNAUTHORIZED = 401;

	private final BlockingHttpClient caller;

	private final ObjectMapper mapper = OperatorJson.newMapper();

	ProcessClient(BlockingHttpClient caller) {
		this.caller = caller;
	}

	/**
	 * Reads the identity and the status of a process.
	 * @param operatorAddress address of the operators' endpoint
	 * @return its report
	 * @throws ProcessUnreachableException if it sent no usable response
	 */
	public ProcessReport status(String operatorAddress) throws ProcessUnreachableException {
		return get(operatorAddress, "status", ProcessReport.class);
	}

	/**
	 * Reads the decisions of a process about a request.
	 * @param operatorAddress address of the operators' endpoint
	 * @param requestId id of the request
	 * @return the decisions that the process holds in memory, oldest first
	 * @throws ProcessUnreachableException if it sent no usable response
	 */
	public List<Decision> explain(String operatorAddress, String requestId) throws ProcessUnreachableException {
		String path = "explain/" + URLEncoder.encode(requestId, StandardCharsets.UTF_8);
		return Arrays.asList(get(operatorAddress, path, Decision[].class));
	}

	/**
	 * Tells a process to drain: to accept no new work, finish and stop.
	 * @param operatorAddress address of the operators' endpoint
	 * @throws ProcessUnreachableException if it didn't accept the request
	 */
	public void drain(String operatorAddress) throws ProcessUnreachableException {
		try {
			requireOk(operatorAddress, this.caller.post(uri(operatorAddress, "drain"), "{}"));
		}
		catch (HttpCallException ex) {
			throw new ProcessUnreachableException(ResultCode.PROCESS_UNREACHABLE, operatorAddress, ex);
		}
	}

	private <T> T get(String operatorAddress, String path, Class<T> type) throws ProcessUnreachableException {
		try {
			HttpReply reply = requireOk(operatorAddress, this.caller.get(uri(operatorAddress, path)));
			return this.mapper.readValue(reply.body(), type);
		}
		catch (HttpCallException | JsonProcessingException ex) {
			throw new ProcessUnreachableException(ResultCode.PROCESS_UNREACHABLE, operatorAddress, ex);
		}
	}

	private static String uri(String operatorAddress, String path) {
		return "http://" + operatorAddress + "/operator/" + path;
	}

	private static HttpReply requireOk(String operatorAddress, HttpReply reply) throws ProcessUnreachableException {
		if (reply.isOk()) {
			return reply;
		}
		ResultCode code = (reply.status() == UNAUTHORIZED) ? ResultCode.BAD_TOKEN : ResultCode.INTERNAL;
		throw new ProcessUnreachableException(code, Messages.unexpectedStatus(operatorAddress, reply.status()), null);
	}

}
