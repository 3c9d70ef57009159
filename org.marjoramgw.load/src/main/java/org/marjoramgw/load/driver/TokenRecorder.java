package org.marjoramgw.load.driver;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.HdrHistogram.ConcurrentHistogram;
import org.marjoramgw.MillisClock;
import org.marjoramgw.rig.TokenListener;

/**
 * Listener that records when the tokens of one answer came and whether they are its own.
 *
 * @author The marjoramgw authors
 */
final class TokenRecorder implements TokenListener {

	private static final double P95 = 0.95;

	private final MillisClock clock;

	private final String marker;

	private final ConcurrentHistogram gaps;

	private final List<Long> gapMillis = new ArrayList<>();

	private long firstMillis = -1;

	private long lastMillis;

	private int tokens;

	private boolean misdelivered;

	TokenRecorder(MillisClock clock, String marker, ConcurrentHistogram gaps) {
		this.clock = clock;
		this.marker = marker;
		this.gaps = gaps;
	}

	@Override
	public void onToken(String text) {
		long now = this.clock.nowMillis();
		if (this.firstMillis < 0) {
			this.firstMillis = now;
		}
		else {
			this.gapMillis.add(now - this.lastMillis);
			this.gaps.recordValue(now - this.lastMillis);
		}
		this.lastMillis = now;
		checkTokens(text);
	}

	long firstMillis() {
		return this.firstMillis;
	}

	int tokens() {
		return this.tokens;
	}

	boolean misdelivered() {
		return this.misdelivered;
	}

	long gapP95Millis() {
		if (this.gapMillis.isEmpty()) {
			return -1;
		}
		Collections.sort(this.gapMillis);
		int index = (int) Math.ceil(P95 * this.gapMillis.size()) - 1;
		return this.gapMillis.get(index);
	}

	private void checkTokens(String text) {
		for (String token : text.trim().split(" ")) {
			if (!token.equals(this.marker + ":" + this.tokens)) {
				this.misdelivered = true;
			}
			this.tokens++;
		}
	}

}
