package org.marjoramgw.operator;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;

/**
 * Annotation introspector that ignores {@link JsonFormat}, so that types that the wire
 * protocol encodes as arrays are written as JSON objects with named fields.
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
