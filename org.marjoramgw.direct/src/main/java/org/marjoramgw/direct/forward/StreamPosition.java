package org.marjoramgw.direct.forward;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Position in an event stream: the id of the last event that was passed on; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class StreamPosition {

	private static final String ID_FIELD = "id:";

	private String lastEventId;

	/**
	 * Returns the id of the last event.
	 * @return the id, or empty if there was no event with an id
	 */
	synchronized Optional<String> lastEventId() {
		return Optional.ofNullable(this.lastEventId);
	}

	/**
	 * Moves the position to an event, unless its id shows that the event or a later one
	 * was passed on already. Ids are compared only if they are numbers.
	 * @param event text of a complete event
	 * @return whether the event is to be passed on
	 */
	synchronized boolean advance(String event) {
		Optional<String> id = event.lines()
			.filter((line) -> line.startsWith(ID_FIELD))
			.map((line) -> line.substring(ID_FIELD.length()).trim())
			.reduce((first, second) -> second);
		if (id.isEmpty()) {
			return true;
		}
		OptionalLong number = number(id.get());
		OptionalLong lastNumber = number(this.lastEventId);
		if (number.isPresent() && lastNumber.isPresent() && number.getAsLong() <= lastNumber.getAsLong()) {
			return false;
		}
		this.lastEventId = id.get();
		return true;
	}

	private static OptionalLong number(String id) {
		try {
			return (id != null) ? OptionalLong.of(Long.parseLong(id)) : OptionalLong.empty();
		}
		catch (NumberFormatException ex) {
			// An id may be any text; such ids have no order.
			return OptionalLong.empty();
		}
	}

}
