package org.marjoramgw.standin.engine;

import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;

/**
 * Deterministic response of an engine stand-in. The tokens depend on the prompt alone;
 * the length depends on the prompt and a seed, or is set by a prompt that starts with
 * {@code len=N} and a space.
 *
 * @author The marjoramgw authors
 */
public final class ResponseText {

	private static final Pattern LENGTH = Pattern.compile("^len=(\\d{1,6}) ");

	private static final int MARKER_LENGTH = 8;

	private static final double PERCENT = 100;

	private final String sha256;

	private final String marker;

	private final int tokenCount;

	/**
	 * Creates the response to a prompt.
	 * @param prompt content of the last message
	 * @param settings settings with the seed and the length distribution
	 */
	public ResponseText(String prompt, EngineSettings settings) {
		HashCode hash = Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8);
		this.sha256 = hash.toString();
		this.marker = this.sha256.substring(0, MARKER_LENGTH);
		Matcher fixedLength = LENGTH.matcher(prompt);
		this.tokenCount = fixedLength.find() ? Integer.parseInt(fixedLength.group(1)) : randomLength(hash, settings);
	}

	/**
	 * Returns the SHA-256 hash of the prompt.
	 * @return the hash in hexadecimal digits
	 */
	public String sha256() {
		return this.sha256;
	}

	/**
	 * Returns the length of the complete response.
	 * @return the number of tokens
	 */
	public int tokenCount() {
		return this.tokenCount;
	}

	/**
	 * Returns one token.
	 * @param index index of the token, from 0
	 * @return its text
	 */
	public String token(int index) {
		return this.marker + ":" + index + " ";
	}

	/**
	 * Returns the concatenated text of the first tokens.
	 * @param count number of tokens
	 * @return the text
	 */
	public String text(int count) {
		StringBuilder text = new StringBuilder();
		for (int index = 0; index < count; index++) {
			text.append(token(index));
		}
		return text.toString();
	}

	/**
	 * Counts the tokens of a prefix of the response.
	 * @param prefix the prefix
	 * @return the number of tokens, or -1 if the text isn't a prefix of whole tokens
	 */
	public int countPrefixTokens(String prefix) {
		int count = (int) prefix.chars().filter((character) -> character == ' ').count();
		boolean matches = count <= this.tokenCount && text(count).equals(prefix);
		return matches ? count : -1;
	}

	private static int randomLength(HashCode hash, EngineSettings settings) {
		Random random = new Random(hash.asLong() ^ settings.seed());
		double spread = settings.sigmaPercent() / PERCENT * random.nextGaussian();
		long length = Math.round(settings.medianTokens() * Math.exp(spread));
		return (int) Math.max(1, Math.min(length, settings.maxTokens()));
	}

}
