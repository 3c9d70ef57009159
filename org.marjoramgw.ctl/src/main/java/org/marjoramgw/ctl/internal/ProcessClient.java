package org.marjoramgw.ctl.internal;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.http.HttpCaller;
import org.marjoramgw.http.HttpReply;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.operator.ProcessReport;
import org.marjoramgw.trace.Decision;

/**
 * Client of the operators' endpoint of any process.
 *
 * @author The marjoramgw authors
 */
public final class ProcessClient {

	private static final int UNAUTHORIZED = 401;

	private final HttpCaller caller;

	private final ObjectMapper mapper = OperatorJson.newMapper();

	ProcessClient(HttpCaller caller) {
		this.caller = caller;
	}

	/**
	 * Asks a process what it does.
	 * @param operatorAddress address of its operators' endpoint
	 * @return its report
	 * @throws ProcessUnreachableException if it gave no usable answer
	 */
	public ProcessReport status(String operatorAddress) throws ProcessUnreachableException {
		return get(operatorAddress, "status", ProcessReport.class);
	}

	/**
	 * Asks a process what it decided about a request.
	 * @param operatorAddress address of its operators' endpoint
	 * @param requestId id of the request
	 * @return the decisions that it remembers, oldest first
	 * @throws ProcessUnreachableException if it gave no usable answer
	 */
	public List<Decision> explain(String operatorAddress, String requestId) throws ProcessUnreachableException {
		String path = "explain/" + URLEncoder.encode(requestId, StandardCharsets.UTF_8);
		return Arrays.asList(get(operatorAddress, path, Decision[].class));
	}

	/**
	 * Tells a process to leave.
	 * @param operatorAddress address of its operators' endpoint
	 * @throws ProcessUnreachableException if it didn't accept
	 */
	public void drain(String operatorAddress) throws ProcessUnreachableException {
		try {
			checked(operatorAddress, this.caller.post(uri(operatorAddress, "drain"), "{}"));
		}
		catch (HttpCallException ex) {
			throw new ProcessUnreachableException(ResultCode.PROCESS_UNREACHABLE, operatorAddress, ex);
		}
	}

	private <T> T get(String operatorAddress, String path, Class<T> type) throws ProcessUnreachableException {
		try {
			HttpReply reply = checked(operatorAddress, this.caller.get(uri(operatorAddress, path)));
			return this.mapper.readValue(reply.body(), type);
		}
		catch (HttpCallException | JsonProcessingException ex) {
			throw new ProcessUnreachableException(ResultCode.PROCESS_UNREACHABLE, operatorAddress, ex);
		}
	}

	private static String uri(String operatorAddress, String path) {
		return "http://" + operatorAddress + "/operator/" + path;
	}

	private static HttpReply checked(String operatorAddress, HttpReply reply) throws ProcessUnreachableException {
		if (reply.isOk()) {
			return reply;
		}
		ResultCode code = (reply.status() == UNAUTHORIZED) ? ResultCode.BAD_TOKEN : ResultCode.INTERNAL;
		throw new ProcessUnreachableException(code, Messages.unexpectedStatus(operatorAddress, reply.status()), null);
	}

}
