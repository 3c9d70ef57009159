package org.marjoramgw.rig;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;
import org.marjoramgw.HostPort;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.http.HttpCaller;
import org.marjoramgw.http.HttpReply;

/**
 * Writer of the first revision of a configuration to an empty log service.
 *
 * @author The marjoramgw authors
 */
final class FirstRevision {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpCaller http;

	private final HostPort log;

	FirstRevision(HttpCaller http, HostPort log) {
		this.http = http;
		this.log = log;
	}

	void publish(String text) throws RigException {
		Map<String, Object> envelope = new LinkedHashMap<>();
		envelope.put("type", "publish");
		envelope.put("id", "first-revision");
		envelope.put("base_revision", 0);
		envelope.put("sha256", Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString());
		envelope.put("text", text);
		envelope.put("operator", "rig");
		try {
			String body = MAPPER.writeValueAsString(Map.of("records", List.of(MAPPER.writeValueAsString(envelope))));
			HttpReply reply = this.http.post("http://" + this.log + "/streams/config/records", body);
			if (!reply.isOk()) {
				throw new RigException("log service refuses the configuration: " + reply, null);
			}
		}
		catch (JsonProcessingException | HttpCallException ex) {
			throw new RigException("configuration can't be published", ex);
		}
	}

}
