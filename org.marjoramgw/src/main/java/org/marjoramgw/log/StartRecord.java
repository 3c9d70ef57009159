package org.marjoramgw.log;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Record of the stream {@code starts}, appended when a process starts.
 *
 * @param processId name of the process
 * @param incarnation number that increases with each start of the process
 * @author The marjoramgw authors
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record StartRecord(@JsonProperty(value = "process", required = true) String processId,
		@JsonProperty(value = "incarnation", required = true) long incarnation) {
}
