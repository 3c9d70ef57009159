package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.marjoramgw.rig.TokenListener;

/**
 * Tokens that the streams of a test have received; thread-safe once all streams are
 * added.
 *
 * @author The marjoramgw authors
 */
final class StreamProgress {

	private final List<AtomicInteger> tokensByStream = new ArrayList<>();

	/**
	 * Adds a stream.
	 * @return listener of its tokens
	 */
	TokenListener add() {
		AtomicInteger tokens = new AtomicInteger();
		this.tokensByStream.add(tokens);
		return (text) -> tokens.incrementAndGet();
	}

	/**
	 * Waits until the streams have received tokens. The first stream must have some of
	 * its own, since tests disrupt the server that runs it.
	 * @param totalCount tokens of all streams together
	 * @throws Exception if they don't come in time
	 */
	void awaitTokens(int totalCount) throws Exception {
		Await.until("streams have tokens, the first one too",
				() -> total() > totalCount && this.tokensByStream.get(0).get() > 0);
	}

	private int total() {
		return this.tokensByStream.stream().mapToInt(AtomicInteger::get).sum();
	}

}
