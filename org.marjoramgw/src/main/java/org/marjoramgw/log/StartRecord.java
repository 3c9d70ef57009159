package org.marjoramgw.log;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Record of the stream {@code starts}: a process started.
 *
 * @param processId name of the process
 * @param incarnation number that rises with each start of the process
 * @author The marjoramgw authors
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record StartRecord(@JsonProperty(value = "process", required = true) String processId,
		@JsonProperty(value = "incarnation", required = true) long incarnation) {
}
