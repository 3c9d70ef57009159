package org.marjoramgw.direct.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.marjoramgw.HostPort;
import org.marjoramgw.direct.follow.KeyedRecord;
import org.marjoramgw.policy.fleet.PeerListing;

/**
 * JSON codec of the records in the topic of the entry processes. The key is the id of the
 * process. Malformed records are ignored.
 *
 * @author The marjoramgw authors
 */
final class PeerRecordCodec {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private PeerRecordCodec() {
	}

	static KeyedRecord encode(String processId, long incarnation, HostPort address) {
		ObjectNode value = MAPPER.createObjectNode();
		value.put("address", address.toString());
		value.put("incarnation", incarnation);
		return new KeyedRecord(processId, Optional.of(value.toString().getBytes(StandardCharsets.UTF_8)), 0);
	}

	static Optional<PeerListing> decode(KeyedRecord record) {
		try {
			if (record.value().isEmpty()) {
				return Optional.empty();
			}
			JsonNode value = MAPPER.readTree(record.value().get());
			long incarnation = value.path("incarnation").asLong();
			HostPort address = HostPort.parse(value.path("address").asText());
			return (incarnation > 0 && address.port() > 0)
					? Optional.of(new PeerListing(record.key(), incarnation, address.toSocketAddress()))
					: Optional.empty();
		}
		catch (IOException | IllegalArgumentException ex) {
			// Another writer's record; it names no peer.
			return Optional.empty();
		}
	}

}
