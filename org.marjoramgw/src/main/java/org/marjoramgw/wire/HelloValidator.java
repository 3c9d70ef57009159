package org.marjoramgw.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import org.marjoramgw.ResultCode;

/**
 * Check of the version and the token of a peer's greeting.
 *
 * @author The marjoramgw authors
 */
public final class HelloValidator {

	private HelloValidator() {
	}

	/**
	 * Checks a greeting, its token in a time that doesn't depend on the token.
	 * @param hello the greeting
	 * @param token token of the deployment
	 * @return why it is refused, or empty if the peer may go on
	 */
	public static Optional<ResultCode> validate(Message.Hello hello, String token) {
		if (hello.version() != MessageCodec.VERSION) {
			return Optional.of(ResultCode.BAD_VERSION);
		}
		byte[] expected = token.getBytes(StandardCharsets.UTF_8);
		boolean known = MessageDigest.isEqual(expected, hello.token().getBytes(StandardCharsets.UTF_8));
		return known ? Optional.empty() : Optional.of(ResultCode.BAD_TOKEN);
	}

}
