package org.marjoramgw.load.driver;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import com.google.common.hash.Hashing;
import org.HdrHistogram.ConcurrentHistogram;
import org.marjoramgw.HostPort;
import org.marjoramgw.MillisClock;
import org.marjoramgw.load.arrival.Arrival;
import org.marjoramgw.rig.CallResult;
import org.marjoramgw.rig.ChatCall;
import org.marjoramgw.rig.RequestClient;
import org.marjoramgw.rig.ServiceCall;

/**
 * Sender of single requests.
 *
 * @author The marjoramgw authors
 */
final class RequestSender {

	private static final int HISTOGRAM_DIGITS = 3;

	private static final int MARKER_LENGTH = 8;

	private static final int CONTEXT_WORDS = 60;

	private final RequestClient caller;

	private final MillisClock clock;

	private final boolean direct;

	private final Map<String, ConcurrentHistogram> gaps = new ConcurrentHashMap<>();

	RequestSender(RequestClient caller, MillisClock clock, boolean direct) {
		this.caller = caller;
		this.clock = clock;
		this.direct = direct;
	}

	CompletionStage<RequestRecord> send(Arrival arrival, HostPort entry, long dueMillis) {
		return arrival.load().isChat() ? chat(arrival, entry, dueMillis) : service(arrival, entry, dueMillis);
	}

	Map<String, ConcurrentHistogram> gaps() {
		return this.gaps;
	}

	private CompletionStage<RequestRecord> chat(Arrival arrival, HostPort entry, long dueMillis) {
		String requestClass = arrival.load().requestClass();
		ConcurrentHistogram histogram = this.gaps.computeIfAbsent(requestClass,
				(name) -> new ConcurrentHistogram(HISTOGRAM_DIGITS));
		String prompt = "len=" + arrival.answerTokens() + " " + arrival.text() + " "
				+ "word ".repeat(arrival.load().promptWords());
		TokenRecorder recorder = new TokenRecorder(this.clock, marker(prompt), histogram);
		String context = (arrival.account() + " context ").repeat(CONTEXT_WORDS / 2);
		String key = this.direct ? "" : "key-" + arrival.account();
		String requestId = this.direct ? arrival.text() : "";
		ChatCall call = new ChatCall(entry, key, requestClass, arrival.load().model(), context, prompt,
				arrival.load().streamed(), 0, requestId);
		return this.caller.chat(call, recorder).thenApply((answer) -> record(arrival, dueMillis, recorder, answer));
	}

	private CompletionStage<RequestRecord> service(Arrival arrival, HostPort entry, long dueMillis) {
		// The time makes a key its own in each run on the same deployment.
		String key = arrival.load().keyed() ? arrival.text() + "-" + dueMillis : "";
		String body = "{\"order\":\"" + arrival.text() + "\"}";
		ServiceCall call = new ServiceCall(entry, "key-" + arrival.account(), arrival.load().requestClass(),
				arrival.load().service(), arrival.load().path(), body, key);
		TokenRecorder none = new TokenRecorder(this.clock, "", new ConcurrentHistogram(HISTOGRAM_DIGITS));
		return this.caller.service(call).thenApply((answer) -> record(arrival, dueMillis, none, answer));
	}

	private RequestRecord record(Arrival arrival, long dueMillis, TokenRecorder tokens, CallResult answer) {
		long completionMillis = this.clock.nowMillis() - dueMillis;
		boolean chat = arrival.load().isChat();
		long firstMillis = (tokens.firstMillis() >= 0) ? tokens.firstMillis() - dueMillis : -1;
		boolean whole = answer.complete() && tokens.tokens() == arrival.answerTokens();
		return new RequestRecord(arrival.load().requestClass(), arrival.account(), arrival.atMillis(),
				chat ? firstMillis : completionMillis, completionMillis, tokens.gapP95Millis(), tokens.tokens(),
				answer.status(), answer.errorCode(), answer.outcome(), whole, tokens.misdelivered(), answer.requestId(),
				answer.failure());
	}

	private static String marker(String prompt) {
		return Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8).toString().substring(0, MARKER_LENGTH);
	}

}
