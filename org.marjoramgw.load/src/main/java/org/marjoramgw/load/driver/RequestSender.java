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
 * Sends the requests of arrivals and records their outcomes.
 *
 * @author The marjoramgw authors
 */
final class RequestSender {

	private static final int HISTOGRAM_SIGNIFICANT_DIGITS = 3;

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

	CompletionStage<RequestRecord> send(Arrival arrival, HostPort target, long dueMillis) {
		return arrival.load().isChat() ? sendChat(arrival, target, dueMillis)
				: sendServiceCall(arrival, target, dueMillis);
	}

	Map<String, ConcurrentHistogram> gaps() {
		return this.gaps;
	}

	private CompletionStage<RequestRecord> sendChat(Arrival arrival, HostPort target, long dueMillis) {
		String requestClass = arrival.load().requestClass();
		ConcurrentHistogram histogram = this.gaps.computeIfAbsent(requestClass,
				(name) -> new ConcurrentHistogram(HISTOGRAM_SIGNIFICANT_DIGITS));
		String prompt = "len=" + arrival.responseTokens() + " " + arrival.id() + " "
				+ "word ".repeat(arrival.load().promptWords());
		TokenRecorder recorder = new TokenRecorder(this.clock, tokenMarker(prompt), histogram);
		String context = (arrival.account() + " context ").repeat(CONTEXT_WORDS / 2);
		String key = this.direct ? "" : "key-" + arrival.account();
		String requestId = this.direct ? arrival.id() : "";
		ChatCall call = new ChatCall(target, key, requestClass, arrival.load().model(), context, prompt,
				arrival.load().streamed(), 0, requestId);
		return this.caller.chat(call, recorder)
			.thenApply((response) -> toRecord(arrival, dueMillis, recorder, response));
	}

	private CompletionStage<RequestRecord> sendServiceCall(Arrival arrival, HostPort target, long dueMillis) {
		// The due time keeps idempotency keys unique across runs on the same deployment.
		String key = arrival.load().keyed() ? arrival.id() + "-" + dueMillis : "";
		String body = "{\"order\":\"" + arrival.id() + "\"}";
		ServiceCall call = new ServiceCall(target, "key-" + arrival.account(), arrival.load().requestClass(),
				arrival.load().service(), arrival.load().path(), body, key);
		TokenRecorder unusedRecorder = new TokenRecorder(this.clock, "",
				new ConcurrentHistogram(HISTOGRAM_SIGNIFICANT_DIGITS));
		return this.caller.service(call)
			.thenApply((response) -> toRecord(arrival, dueMillis, unusedRecorder, response));
	}

	private RequestRecord toRecord(Arrival arrival, long dueMillis, TokenRecorder recorder, CallResult response) {
		long completionMillis = this.clock.nowMillis() - dueMillis;
		boolean chat = arrival.load().isChat();
		long firstTokenMillis = (recorder.firstTokenMillis() >= 0) ? recorder.firstTokenMillis() - dueMillis : -1;
		boolean complete = response.complete() && recorder.tokenCount() == arrival.responseTokens();
		return new RequestRecord(arrival.load().requestClass(), arrival.account(), arrival.offsetMillis(),
				chat ? firstTokenMillis : completionMillis, completionMillis, recorder.gapP95Millis(),
				recorder.tokenCount(), response.status(), response.errorCode(), response.outcome(), complete,
				recorder.misdelivered(), response.requestId(), response.failure());
	}

	private static String tokenMarker(String prompt) {
		return Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8).toString().substring(0, MARKER_LENGTH);
	}

}
