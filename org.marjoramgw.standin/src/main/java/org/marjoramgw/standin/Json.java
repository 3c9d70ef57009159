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
 * JSON bodies with names such as {@code first_offset}.
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
	 * Writes a value.
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
	 * Reads a value.
	 * @param <T> type of the value
	 * @param text the JSON text
	 * @param type class of the value
	 * @return the value
	 * @throws JsonProcessingException if the text doesn't fit
	 */
	public static <T> T read(String text, Class<T> type) throws JsonProcessingException {
		return MAPPER.readValue(text, type);
	}

	/**
	 * Makes an answer with status 200.
	 * @param value the body
	 * @return the answer
	 */
	public static HttpResponse ok(Object value) {
		return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, write(value));
	}

	/**
	 * Makes an answer that says what was wrong.
	 * @param status status of the answer
	 * @param message what was wrong, for people
	 * @return the answer
	 */
	public static HttpResponse error(int status, String message) {
		return HttpResponse.create()
			.withStatus(StatusCodes.get(status))
			.withEntity(ContentTypes.APPLICATION_JSON, write(Map.of("error", message)));
	}

	/**
	 * Answers with an empty object after a body was taken in, or says what is wrong with
	 * the body.
	 * @param <T> type of the body
	 * @param body the JSON text
	 * @param type class of the body
	 * @param action takes the body in
	 * @return the answer
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
