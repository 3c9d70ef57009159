package org.marjoramgw.process;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/**
 * Configuration of the process tests: chat classes of tiers 1, 3 and 4, an order class,
 * and small slot limits, so that a few requests cause an overload.
 *
 * @author The marjoramgw authors
 */
final class TestConfiguration {

	/** Account of most calls. */
	static final String ACCOUNT = "buyer";

	/** Bearer key of the account. */
	static final String KEY = "key-" + ACCOUNT;

	/** Model of the chat calls. */
	static final String MODEL = "carob-large";

	/** Chat class of tier 1, the highest. */
	static final String TOP_CLASS = "weighbridge-reply";

	/** Chat class of tier 3. */
	static final String DRAFT_CLASS = "reply-draft";

	/** Chat class of tier 4, the lowest. */
	static final String LOWEST_CLASS = "contract-summary";

	/** Class of the orders, in tier 1. */
	static final String ORDER_CLASS = "order-booking";

	/** Floor of the classes below the top tier, in percent of slot-time. */
	static final int FLOOR_PERCENT = 10;

	/** Slots of each model engine; the slot limit is fixed at this count. */
	static final int SLOT_COUNT = 4;

	private TestConfiguration() {
	}

	/**
	 * Builds the text of the configuration.
	 * @param mark text of a comment that distinguishes revisions
	 * @return the text that an operator publishes
	 */
	static String text(String mark) {
		String digest = Hashing.sha256().hashString(KEY, StandardCharsets.UTF_8).toString();
		return """
				# %s
				[limits]
				candidate_count = 2
				grant_timeout_ms = 200
				slot_count = %d
				min_slot_count = %d
				retry_percent = 100
				[services.assistant]
				kind = "model"
				pool = "model-runners"
				models = ["%s"]
				checks_fencing = true
				[services.orders]
				kind = "plain"
				pool = "order-runners"
				non_repeatable = ["POST /orders"]
				[classes.%s]
				tier = 1
				first_token_ms = 3000
				token_gap_ms = 200
				completion_ms = 30000
				floor_percent = 30
				queue_bound_count = 200
				[classes.%s]
				tier = 1
				completion_ms = 10000
				floor_percent = 10
				queue_bound_count = 200
				[classes.%s]
				tier = 3
				first_token_ms = 20000
				token_gap_ms = 500
				completion_ms = 40000
				floor_percent = %d
				queue_bound_count = 200
				[classes.%s]
				tier = 4
				first_token_ms = 30000
				token_gap_ms = 500
				completion_ms = 60000
				floor_percent = %d
				queue_bound_count = 200
				[accounts.%s]
				key_sha256 = "%s"
				weight = 1
				[[rules]]
				account = "*"
				path_prefix = "/v1/services/"
				class = "%s"
				[[rules]]
				account = "*"
				path_prefix = "/v1/chat/completions"
				class = "%s"
				""".formatted(mark, SLOT_COUNT, SLOT_COUNT, MODEL, TOP_CLASS, ORDER_CLASS, DRAFT_CLASS, FLOOR_PERCENT,
				LOWEST_CLASS, FLOOR_PERCENT, ACCOUNT, digest, ORDER_CLASS, DRAFT_CLASS);
	}

}
