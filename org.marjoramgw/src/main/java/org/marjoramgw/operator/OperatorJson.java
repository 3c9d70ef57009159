package org.marjoramgw.operator;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * JSON form of what operators see: objects with named fields in snake case.
 *
 * @author The marjoramgw authors
 */
public final class OperatorJson {

	private OperatorJson() {
	}

	/**
	 * Creates a mapper that reads and writes the form.
	 * @return a new mapper; fields that this release doesn't know are ignored
	 */
	public static ObjectMapper newMapper() {
		return JsonMapper.builder()
			.annotationIntrospector(new NamedFieldIntrospector())
			.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.build();
	}

}
