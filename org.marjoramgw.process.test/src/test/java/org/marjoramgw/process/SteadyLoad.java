package org.marjoramgw.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.marjoramgw.rig.CallResult;
import org.marjoramgw.testkit.TestSeed;

/**
 * Sends chat calls at a constant rate, each with a unique prompt.
 *
 * @author The marjoramgw authors
 */
final class SteadyLoad implements AutoCloseable {

	private final DeploymentFixture fixture;

	private final List<String> entries;

	private final String requestClass;

	private final int answerTokens;

	private final long intervalMillis;

	private final Map<String, CompletableFuture<CallResult>> calls = new LinkedHashMap<>();

	private final Thread sender = new Thread(this::send, "steady load");

	private volatile boolean stopped;

	/**
	 * Starts sending.
	 * @param fixture the deployment
	 * @param entries entries to send to, in round-robin order
	 * @param requestClass class of the requests
	 * @param answerTokens length of each answer, in tokens
	 * @param intervalMillis time between two calls, in milliseconds
	 */
	SteadyLoad(DeploymentFixture fixture, List<String> entries, String requestClass, int answerTokens,
			long intervalMillis) {
		this.fixture = fixture;
		this.entries = entries;
		this.requestClass = requestClass;
		this.answerTokens = answerTokens;
		this.intervalMillis = intervalMillis;
		this.sender.setDaemon(true);
		this.sender.start();
	}

	/**
	 * Stops sending and waits for every answer.
	 * @return the answers by prompt, in the order of the calls
	 * @throws Exception if an answer isn't complete in time
	 */
	Map<String, CallResult> finish() throws Exception {
		close();
		Map<String, CallResult> answers = new LinkedHashMap<>();
		for (Map.Entry<String, CompletableFuture<CallResult>> call : this.calls.entrySet()) {
			answers.put(call.getKey(), DeploymentFixture.await(call.getValue()));
		}
		return answers;
	}

	@Override
	public void close() throws InterruptedException {
		this.stopped = true;
		this.sender.join();
	}

	private void send() {
		long startNanos = System.nanoTime();
		for (int number = 0; !this.stopped; number++) {
			String prompt = "len=" + this.answerTokens + " " + this.requestClass + " " + TestSeed.value() + " "
					+ System.nanoTime();
			String entry = this.entries.get(number % this.entries.size());
			this.calls.put(prompt, this.fixture.chat(entry, this.requestClass, prompt));
			sleepUntil(startNanos + (number + 1) * this.intervalMillis * 1_000_000);
		}
	}

	private static void sleepUntil(long targetNanos) {
		try {
			Thread.sleep(Math.max(0, (targetNanos - System.nanoTime()) / 1_000_000));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Lists the answers that are neither the expected text nor reported as not run.
	 * @param answers answers by prompt
	 * @return the unexpected answers, with their prompts
	 * @throws Exception if an expected answer can't be computed
	 */
	static List<String> unexpectedAnswers(Map<String, CallResult> answers) throws Exception {
		List<String> unexpected = new ArrayList<>();
		for (Map.Entry<String, CallResult> answer : answers.entrySet()) {
			boolean correct = answer.getValue().complete()
					&& answer.getValue().text().equals(DeploymentFixture.expectedAnswer(answer.getKey()));
			if (!correct && !answer.getValue().outcome().equals("not_run")) {
				unexpected.add(answer.getKey() + ": " + answer.getValue());
			}
		}
		return unexpected;
	}

}
