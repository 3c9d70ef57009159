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
import org.marjoramgw.rig.CallAnswer;
import org.marjoramgw.rig.ChatCall;
import org.marjoramgw.rig.RequestCaller;
import org.marjoramgw.rig.ServiceCall;

/**
 * Sender of single requests.
 *
 * @author The marjoramgw authors
 */
final class RequestSender {

	private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;

	private static final int MARKER_LENGTH = 8;

	private static final int CONTEXT_WORDS = 60;

	private final RequestCaller caller;

	private final MillisClock clock;

	private final boolean direct;

	private final Map<String, ConcurrentHistogram> gaps = new ConcurrentHashMap<>();

	RequestSender(RequestCaller caller, MillisClock clock, boolean direct) {
		this.caller = caller;
		this.clock = clock;
		this.direct = direct;
	}

	CompletionStage<RequestRecord> send(Arrival arrival, HostPort entry, long dueMillis) {
		return arrival.load().isChat() ? sendChat(arrival, entry, dueMillis)
				: sendServiceCall(arrival, entry, dueMillis);
	}

	Map<String, ConcurrentHistogram> gaps() {
		return this.gaps;
	}

	private CompletionStage<RequestRecord> sendChat(Arrival arrival, HostPort entry, long dueMillis) {
		String requestClass = arrival.load().requestClass();
		ConcurrentHistogram histogram = this.gaps.computeIfAbsent(requestClass,
				(name) -> new ConcurrentHistogram(HISTOGRAM_SIGNIFICANT_DIGITS));
		String prompt = "len=" + arrival.responseTokens() + " " + arrival.id() + " "
				+ "word ".repeat(arrival.load().promptWords());
		TokenRecorder recorder = new TokenRecorder(this.clock, tokenMarker(prompt), histogram);
		String context = (arrival.account() + " context ").repeat(CONTEXT_WORDS / 2);
		String key = this.direct ? "" : "key-" + arrival.account();
		String requestId = this.direct ? arrival.id() : "";
		ChatCall call = new ChatCall(entry, key, requestClass, arrival.load().model(), context, prompt,
				arrival.load().streamed(), 0, requestId);
		return this.caller.chat(call, recorder).thenApply((answer) -> toRecord(arrival, dueMillis, recorder, answer));
	}

	private CompletionStage<RequestRecord> sendServiceCall(Arrival arrival, HostPort entry, long dueMillis) {
		// The time makes a key its own in each run on the same deployment.
		String key = arrival.load().keyed() ? arrival.id() + "-" + dueMillis : "";
		String body = "{\"order\":\"" + arrival.id() + "\"}";
		ServiceCall call = new ServiceCall(entry, "key-" + arrival.account(), arrival.load().requestClass(),
				arrival.load().service(), arrival.load().path(), body, key);
		TokenRecorder none = new TokenRecorder(this.clock, "", new ConcurrentHistogram(HISTOGRAM_SIGNIFICANT_DIGITS));
		return this.caller.service(call).thenApply((answer) -> toRecord(arrival, dueMillis, none, answer));
	}

	private RequestRecord toRecord(Arrival arrival, long dueMillis, TokenRecorder tokens, CallAnswer answer) {
		long completionMillis = this.clock.nowMillis() - dueMillis;
		boolean chat = arrival.load().isChat();
		long firstMillis = (tokens.firstMillis() >= 0) ? tokens.firstMillis() - dueMillis : -1;
		boolean whole = answer.complete() && tokens.tokens() == arrival.responseTokens();
		return new RequestRecord(arrival.load().requestClass(), arrival.account(), arrival.offsetMillis(),
				chat ? firstMillis : completionMillis, completionMillis, tokens.gapP95Millis(), tokens.tokens(),
				answer.status(), answer.errorCode(), answer.outcome(), whole, tokens.misdelivered(), answer.requestId(),
				answer.failure());
	}

	private static String tokenMarker(String prompt) {
		return Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8).toString().substring(0, MARKER_LENGTH);
	}

}
