package org.marjoramgw.log;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.http.HttpReply;

/**
 * HTTP client of the log service.
 * <p>
 * A 4xx or 503 status means that the service refused an append and nothing was appended.
 * After any other failed append the records may be in the log.
 *
 * @author The marjoramgw authors
 */
public final class HttpLogService implements LogService {

	private static final int BAD_REQUEST = 400;

	private static final int SERVER_ERROR = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
		.build();

	private final BlockingHttpClient caller;

	private final String baseUrl;

	/**
	 * Creates a client.
	 * @param caller the HTTP client
	 * @param baseUrl base URL of the log service without a trailing slash
	 */
	public HttpLogService(BlockingHttpClient caller, String baseUrl) {
		this.caller = caller;
		this.baseUrl = baseUrl;
	}

	@Override
	public long append(String stream, List<String> records) throws LogUnavailableException, LogAnswerLostException {
		HttpReply reply = post(stream, toJson(new AppendRequest(records)));
		if (reply.isOk()) {
			return firstOffset(reply);
		}
		String detail = "append to " + stream + " returned status " + reply.status();
		if (isRefusal(reply.status())) {
			throw new LogUnavailableException(detail, null);
		}
		throw new LogAnswerLostException(detail, null);
	}

	@Override
	public LogSlice read(String stream, long fromOffset, int maxRecords) throws LogUnavailableException {
		String query = "?from=" + fromOffset + "&limit=" + maxRecords;
		HttpReply reply = get(recordsUri(stream) + query);
		if (!reply.isOk()) {
			throw new LogUnavailableException("read of " + stream + " returned status " + reply.status(), null);
		}
		try {
			return toSlice(MAPPER.readValue(reply.body(), ReadResponse.class));
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			throw new LogUnavailableException("read of " + stream + " returned a malformed response", ex);
		}
	}

	private HttpReply post(String stream, String body) throws LogUnavailableException, LogAnswerLostException {
		try {
			return this.caller.post(recordsUri(stream), body);
		}
		catch (HttpCallException ex) {
			if (ex.isRefused()) {
				throw new LogUnavailableException("can't connect for an append to " + stream, ex);
			}
			throw new LogAnswerLostException("append to " + stream, ex);
		}
	}

	private HttpReply get(String uri) throws LogUnavailableException {
		try {
			return this.caller.get(uri);
		}
		catch (HttpCallException ex) {
			throw new LogUnavailableException(uri, ex);
		}
	}

	private String recordsUri(String stream) {
		return this.baseUrl + "/streams/" + stream + "/records";
	}

	private static boolean isRefusal(int status) {
		return (status >= BAD_REQUEST && status < SERVER_ERROR) || status == SERVICE_UNAVAILABLE;
	}

	private static long firstOffset(HttpReply reply) throws LogAnswerLostException {
		try {
			return MAPPER.readValue(reply.body(), AppendResponse.class).firstOffset();
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			throw new LogAnswerLostException("malformed response to an append", ex);
		}
	}

	private static LogSlice toSlice(ReadResponse response) {
		List<LogRecord> records = new ArrayList<>();
		for (ReadRecord each : response.records()) {
			records.add(new LogRecord(each.offset(), each.timeMillis(), each.data()));
		}
		return new LogSlice(response.firstOffset(), response.nextOffset(), List.copyOf(records));
	}

	private static String toJson(AppendRequest request) {
		try {
			return MAPPER.writeValueAsString(request);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("can't encode an append request", ex);
		}
	}

	/**
	 * Body of an append request.
	 *
	 * @param records the records
	 */
	private record AppendRequest(@JsonProperty("records") List<String> records) {
	}

	/**
	 * Response to an append request.
	 *
	 * @param firstOffset offset of the first record
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	private record AppendResponse(@JsonProperty(value = "first_offset", required = true) Long firstOffset) {
	}

	/**
	 * Response to a read request.
	 *
	 * @param firstOffset first retained offset
	 * @param nextOffset offset of the next record to be appended
	 * @param records the records
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	private record ReadResponse(@JsonProperty(value = "first_offset", required = true) Long firstOffset,
			@JsonProperty(value = "next_offset", required = true) Long nextOffset,
			@JsonProperty(value = "records", required = true) List<ReadRecord> records) {
	}

	/**
	 * Record in the response to a read request.
	 *
	 * @param offset offset of the record
	 * @param timeMillis time of the append, in milliseconds
	 * @param data text of the record
	 */
	@JsonIgnoreProperties(ignoreUnknown = true)
	private record ReadRecord(@JsonProperty(value = "offset", required = true) Long offset,
			@JsonProperty(value = "time_ms", required = true) Long timeMillis,
			@JsonProperty(value = "data", required = true) String data) {
	}

}
