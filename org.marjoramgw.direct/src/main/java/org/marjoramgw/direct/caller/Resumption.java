package org.marjoramgw.direct.caller;

import java.util.Optional;

/**
 * What a caller says of a stream that broke off and that it takes up.
 *
 * @param firstAttemptId id of the caller's request that brought the first event, or empty
 * if the caller names none
 * @author The marjoramgw authors
 */
public record Resumption(Optional<String> firstAttemptId) {
}
