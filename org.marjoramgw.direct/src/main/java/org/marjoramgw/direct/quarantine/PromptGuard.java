package org.marjoramgw.direct.quarantine;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.policy.quarantine.Verdict;

/**
 * Keeps prompts that crash backend servers away from them.
 *
 * @author The marjoramgw authors
 */
public interface PromptGuard {

	/** Guard that lets every prompt pass. */
	PromptGuard NONE = new PassingGuard();

	/**
	 * Returns the verdict for which a request is refused at present.
	 * @param request the request
	 * @return the verdict, or empty if the request isn't refused
	 */
	Optional<Verdict> check(CallerRequest request);

	/**
	 * Returns the same verdict as {@link #check} without changing anything.
	 * @param request the request
	 * @return the verdict, or empty if the request isn't refused
	 */
	Optional<Verdict> peek(CallerRequest request);

	/**
	 * Returns the verdict for which a request is refused immediately before it is sent.
	 * @param request the request
	 * @return the verdict, or empty if the request may be sent
	 */
	Optional<Verdict> checkBeforeSend(CallerRequest request);

	/**
	 * Watches for a verdict on a part of a request until its answer begins or it ends.
	 * @param request the request
	 * @param onQuarantined called if there is one; may be called more than once
	 * @return the watch, which must be closed
	 */
	Watch watch(CallerRequest request, Runnable onQuarantined);

	/**
	 * Records that the answer to a request has begun and gone on.
	 * @param request the request
	 */
	void onAnswer(CallerRequest request);

	/**
	 * Records that the connection to a server ended before it was certain that the answer
	 * had begun and gone on.
	 * @param server the server
	 * @param request the request
	 * @param answering whether the head of the answer had been received
	 * @param sentMillis when the request was sent, by the monotonic clock, in
	 * milliseconds
	 * @return whether the request may be sent to another server: the server has not
	 * crashed, or the prompt is known to be sound
	 */
	CompletionStage<Boolean> onUnanswered(BackendServer server, CallerRequest request, boolean answering,
			long sentMillis);

	/**
	 * Watch for a verdict on a request.
	 */
	@FunctionalInterface
	interface Watch extends AutoCloseable {

		@Override
		void close();

	}

}
