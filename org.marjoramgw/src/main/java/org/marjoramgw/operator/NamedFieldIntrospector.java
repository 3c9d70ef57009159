package org.marjoramgw.operator;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;

/**
 * Introspector that writes wire values with named fields, for people to read.
 *
 * @author The marjoramgw authors
 */
final class NamedFieldIntrospector extends JacksonAnnotationIntrospector {

	private static final long serialVersionUID = 1L;

	@Override
	public JsonFormat.Value findFormat(Annotated annotated) {
		return null;
	}

}
