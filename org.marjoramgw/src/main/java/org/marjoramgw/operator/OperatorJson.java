package org.marjoramgw.operator;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON format of the operators' endpoint: objects with field names in snake case.
 *
 * @author The marjoramgw authors
 */
public final class OperatorJson {

	private OperatorJson() {
	}

	/**
	 * Creates a mapper that reads and writes this format.
	 * @return a new mapper; it ignores unknown fields, which a newer release may send
	 */
	public static ObjectMapper newMapper() {
		return JsonMapper.builder()
			.annotationIntrospector(new NamedFieldIntrospector())
			.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.build();
	}

}
