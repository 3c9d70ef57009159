package org.marjoramgw.settings;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;

/**
 * Kind of value that a key accepts, and its conversion from TOML.
 *
 * @param <T> type of the converted value
 * @param expected human-readable description of the accepted values
 * @param errorCode result code for any other value
 * @param conversion converts a value; empty if the value isn't accepted
 * @author The marjoramgw authors
 */
record ValueKind<T>(String expected, ResultCode errorCode, Function<JsonNode, Optional<T>> conversion) {

	private static final TomlMapper MAPPER = new TomlMapper();

	static final ValueKind<String> TEXT = of("a text", JsonNode::isTextual, JsonNode::asText);

	static final ValueKind<Boolean> FLAG = of("true or false", JsonNode::isBoolean, JsonNode::asBoolean);

	static final ValueKind<Double> NUMBER = of("a number",
			(value) -> value.isNumber() && !Double.isNaN(value.asDouble()), JsonNode::asDouble);

	static final ValueKind<JsonNode> TABLE = of("a table", JsonNode::isObject, Function.identity());

	static final ValueKind<JsonNode> ARRAY = of("an array of tables", JsonNode::isArray, Function.identity());

	static final ValueKind<Map<String, Object>> VALUES = of("a table", JsonNode::isObject, ValueKind::toMap);

	static final ValueKind<List<String>> TEXTS = new ValueKind<>("a list of texts", ResultCode.BAD_VALUE,
			ValueKind::toTexts);

	static final ValueKind<HostPort> ADDRESS = new ValueKind<>("an IP address and a port such as 127.0.0.1:8080",
			ResultCode.BAD_ADDRESS, ValueKind::toAddress);

	/**
	 * Returns the kind of integers within a range.
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the kind
	 */
	static ValueKind<Long> number(long min, long max) {
		return of(
				"a whole number from " + min + " to " + max, (value) -> value.isIntegralNumber()
						&& value.canConvertToLong() && value.asLong() >= min && value.asLong() <= max,
				JsonNode::asLong);
	}

	/**
	 * Returns the kind of integers and floating-point numbers within a range.
	 * @param min the minimum, inclusive
	 * @param max the maximum, inclusive
	 * @return the kind
	 */
	static ValueKind<Double> decimal(double min, double max) {
		return of("a number from " + toPlainString(min) + " to " + toPlainString(max),
				(value) -> value.isNumber() && value.asDouble() >= min && value.asDouble() <= max, JsonNode::asDouble);
	}

	private static String toPlainString(double number) {
		return BigDecimal.valueOf(number).stripTrailingZeros().toPlainString();
	}

	/**
	 * Returns the kind of strings that are in a set.
	 * @param allowed the allowed strings
	 * @return the kind
	 */
	static ValueKind<String> choice(Set<String> allowed) {
		return of("one of " + new TreeSet<>(allowed), (value) -> value.isTextual() && allowed.contains(value.asText()),
				JsonNode::asText);
	}

	/**
	 * Converts a value.
	 * @param value the value, not {@code null}
	 * @return the converted value, or empty if the value isn't accepted
	 */
	Optional<T> convert(JsonNode value) {
		return this.conversion.apply(value);
	}

	private static <T> ValueKind<T> of(String expected, Predicate<JsonNode> accepts, Function<JsonNode, T> conversion) {
		return new ValueKind<>(expected, ResultCode.BAD_VALUE,
				(value) -> accepts.test(value) ? Optional.of(conversion.apply(value)) : Optional.empty());
	}

	private static Optional<List<String>> toTexts(JsonNode value) {
		List<String> texts = new ArrayList<>();
		boolean valid = value.isArray();
		for (JsonNode element : value) {
			valid = valid && element.isTextual();
			texts.add(element.asText());
		}
		return valid ? Optional.of(List.copyOf(texts)) : Optional.empty();
	}

	private static Map<String, Object> toMap(JsonNode value) {
		return Collections.unmodifiableMap(MAPPER.convertValue(value, new TypeReference<Map<String, Object>>() {
		}));
	}

	private static Optional<HostPort> toAddress(JsonNode value) {
		try {
			return Optional.of(HostPort.parse(value.asText()));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

}
