package org.marjoramgw.entry.dispatch;

import java.time.Duration;

import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Timers of one request.
 *
 * @author The marjoramgw authors
 */
final class RequestTimers {

	private final TimerScheduler<RequestEvent> timers;

	private final RoutedRequest request;

	private final DispatchContext context;

	RequestTimers(TimerScheduler<RequestEvent> timers, RoutedRequest request, DispatchContext context) {
		this.timers = timers;
		this.request = request;
		this.context = context;
	}

	void startDeadlines(RequestDeadlines deadlines) {
		start(new RequestEvent.StartDeadline(), deadlines.startWithinMillis());
		start(new RequestEvent.FinishDeadline(), deadlines.finishWithinMillis());
	}

	void cancelStartDeadline() {
		this.timers.cancel(new RequestEvent.StartDeadline());
	}

	void startWiden() {
		start(new RequestEvent.WidenDue(), this.context.settings().widenMillis());
	}

	void startRetry(long delayMillis) {
		start(new RequestEvent.RetryDue(), delayMillis);
	}

	void startResumeDeadline(int attempt) {
		start(new RequestEvent.ResumeDeadline(attempt), resumeWaitMillis());
	}

	void cancelResumeDeadline(int attempt) {
		this.timers.cancel(new RequestEvent.ResumeDeadline(attempt));
	}

	/**
	 * Returns how long an interrupted run waits for a new connection to its side process.
	 * A generation can continue elsewhere at the cost of one prefill, so it waits no
	 * longer than its first-token target.
	 * @return the longest wait, in milliseconds
	 */
	private long resumeWaitMillis() {
		long waitMillis = this.context.settings().resumeWaitMillis();
		return this.request.isGeneration() ? Math.min(waitMillis, this.request.requestClass().firstTokenMillis())
				: waitMillis;
	}

	private void start(RequestEvent event, long delayMillis) {
		this.timers.startSingleTimer(event, Duration.ofMillis(delayMillis));
	}

}
