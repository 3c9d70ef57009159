package org.marjoramgw.standin;

import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;

/**
 * Reads and writes JSON bodies with snake case names such as {@code first_offset}.
 *
 * @author The marjoramgw authors
 */
public final class Json {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private Json() {
	}

	/**
	 * Serializes a value.
	 * @param value the value
	 * @return its JSON text
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Parses a value.
	 * @param <T> type of the value
	 * @param text the JSON text
	 * @param type class of the value
	 * @return the value
	 * @throws JsonProcessingException if the text is not valid JSON or does not match the
	 * type
	 */
	public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
		return MAPPER.readValue(text, type);
	}

	/**
	 * Creates a response with status 200.
	 * @param value the body
	 * @return the response
	 */
	public static HttpResponse ok(Object value) {
		return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, write(value));
	}

	/**
	 * Creates an error response with a message.
	 * @param status status code of the response
	 * @param message human-readable error message
	 * @return the response
	 */
	public static HttpResponse error(int status, String message) {
		return HttpResponse.create()
			.withStatus(StatusCodes.get(status))
			.withEntity(ContentTypes.APPLICATION_JSON, write(Map.of("error", message)));
	}

	/**
	 * Parses a request body and passes it to an action.
	 * @param <T> type of the body
	 * @param body the JSON text
	 * @param type class of the body
	 * @param action consumer of the parsed body
	 * @return an empty object, or status 400 if the body can't be parsed
	 */
	public static <T> HttpResponse accept(String body, Class<T> type, Consumer<T> action) {
		try {
			action.accept(read(body, type));
			return ok(Map.of());
		}
		catch (JsonProcessingException ex) {
			return error(400, ex.getOriginalMessage());
		}
	}

}
