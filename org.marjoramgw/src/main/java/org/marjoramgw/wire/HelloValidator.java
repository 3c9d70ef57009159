package org.marjoramgw.wire;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

import org.marjoramgw.ResultCode;

/**
 * Validates the protocol version and the token of a peer's {@link Message.Hello}.
 *
 * @author The marjoramgw authors
 */
public final class HelloValidator {

	private HelloValidator() {
	}

	/**
	 * Validates a hello message; compares the token in constant time.
	 * @param hello the message
	 * @param token token of the deployment
	 * @return why the peer is rejected, or empty if it is accepted
	 */
	public static Optional<ResultCode> validate(Message.Hello hello, String token) {
		if (hello.version() != MessageCodec.VERSION) {
			return Optional.of(ResultCode.BAD_VERSION);
		}
		byte[] expected = token.getBytes(StandardCharsets.UTF_8);
		boolean tokenMatches = MessageDigest.isEqual(expected, hello.token().getBytes(StandardCharsets.UTF_8));
		return tokenMatches ? Optional.empty() : Optional.of(ResultCode.BAD_TOKEN);
	}

}
