package org.marjoramgw.direct.quarantine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.marjoramgw.direct.caller.CallerRequest;
import org.marjoramgw.direct.model.BackendServer;
import org.marjoramgw.policy.quarantine.Verdict;

/**
 * Guard that lets every prompt pass.
 *
 * @author The marjoramgw authors
 */
public class PassingGuard implements PromptGuard {

	@Override
	public Optional<Verdict> check(CallerRequest request) {
		return Optional.empty();
	}

	@Override
	public Optional<Verdict> peek(CallerRequest request) {
		return Optional.empty();
	}

	@Override
	public Optional<Verdict> checkBeforeSend(CallerRequest request) {
		return Optional.empty();
	}

	@Override
	public Watch watch(CallerRequest request, Runnable onQuarantined) {
		return () -> {
		};
	}

	@Override
	public void onAnswer(CallerRequest request) {
	}

	@Override
	public CompletionStage<Boolean> onUnanswered(BackendServer server, CallerRequest request, boolean answering,
			long sentMillis) {
		return CompletableFuture.completedFuture(true);
	}

}
