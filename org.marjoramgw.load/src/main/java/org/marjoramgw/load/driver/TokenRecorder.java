package org.marjoramgw.load.driver;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.HdrHistogram.ConcurrentHistogram;
import org.marjoramgw.MillisClock;
import org.marjoramgw.rig.TokenListener;

/**
 * Records the arrival times of the tokens of one response and checks that each token
 * belongs to that response.
 *
 * @author The marjoramgw authors
 */
final class TokenRecorder implements TokenListener {

	private static final double P95 = 0.95;

	private final MillisClock clock;

	private final String marker;

	private final ConcurrentHistogram gapHistogram;

	private final List<Long> gapMillis = new ArrayList<>();

	private long firstTokenMillis = -1;

	private long lastTokenMillis;

	private int tokenCount;

	private boolean misdelivered;

	TokenRecorder(MillisClock clock, String marker, ConcurrentHistogram gaps) {
		this.clock = clock;
		this.marker = marker;
		this.gapHistogram = gaps;
	}

	@Override
	public void onToken(String text) {
		long now = this.clock.nowMillis();
		if (this.firstTokenMillis < 0) {
			this.firstTokenMillis = now;
		}
		else {
			this.gapMillis.add(now - this.lastTokenMillis);
			this.gapHistogram.recordValue(now - this.lastTokenMillis);
		}
		this.lastTokenMillis = now;
		checkTokens(text);
	}

	long firstTokenMillis() {
		return this.firstTokenMillis;
	}

	int tokenCount() {
		return this.tokenCount;
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
			if (!token.equals(this.marker + ":" + this.tokenCount)) {
				this.misdelivered = true;
			}
			this.tokenCount++;
		}
	}

}
