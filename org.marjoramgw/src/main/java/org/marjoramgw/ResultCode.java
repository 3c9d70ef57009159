package org.marjoramgw;

import java.util.Arrays;
import java.util.Optional;

/**
 * Numbered result of a request, a refusal, a retry or an operation.
 * <p>
 * Numbers are stable and never reused. 1xxx: request accepted or ended; 2xxx: refused at
 * the entry; 3xxx: refused or ended at a side process; 4xxx: retries; 5xxx: settings and
 * configuration; 6xxx: peers and platform.
 *
 * @author The marjoramgw authors
 */
public enum ResultCode {

	/** Answer complete. */
	OK(1000, 200, ExecutionOutcome.RAN, "answer complete"),
	/** Recorded outcome of an earlier call with the same idempotency key. */
	OK_REPEATED(1001, 200, ExecutionOutcome.RAN, "recorded outcome of an earlier call with this key"),
	/** Backend server answered with an error of its own. */
	BACKEND_ERROR(1002, 502, ExecutionOutcome.RAN, "backend server answered with an error"),

	/** Request is not well-formed JSON or lacks a field. */
	MALFORMED_REQUEST(2001, 400, ExecutionOutcome.NOT_RUN, "malformed request"),
	/** Missing or unknown bearer key. */
	UNKNOWN_ACCOUNT(2002, 401, ExecutionOutcome.NOT_RUN, "missing or unknown bearer key"),
	/** Request class is not configured. */
	UNKNOWN_CLASS(2003, 400, ExecutionOutcome.NOT_RUN, "unknown request class"),
	/** Model is not configured. */
	UNKNOWN_MODEL(2004, 404, ExecutionOutcome.NOT_RUN, "unknown model"),
	/** Service is not configured. */
	UNKNOWN_SERVICE(2005, 404, ExecutionOutcome.NOT_RUN, "unknown service"),
	/** Body over the configured bound. */
	BODY_TOO_LARGE(2006, 413, ExecutionOutcome.NOT_RUN, "body over the bound"),
	/** No configuration in force yet. */
	NO_CONFIGURATION(2007, 503, ExecutionOutcome.NOT_RUN, "no configuration in force yet"),
	/** No live backend server for the service. */
	NO_BACKEND(2008, 503, ExecutionOutcome.NOT_RUN, "no live backend server for the service"),
	/** A service that this one depends on has no live backend server. */
	DEPENDENCY_DOWN(2009, 503, ExecutionOutcome.NOT_RUN,
			"a service that this one depends on has no live backend server"),
	/** Deadline passed before any slot was granted. */
	DEADLINE_BEFORE_GRANT(2010, 503, ExecutionOutcome.NOT_RUN, "no slot was granted before the deadline"),
	/** Every candidate refused and the retry budget is spent. */
	RETRY_BUDGET_SPENT(2011, 503, ExecutionOutcome.NOT_RUN, "every candidate refused and the retry budget is spent"),
	/** Entry is leaving. */
	ENTRY_LEAVING(2012, 503, ExecutionOutcome.NOT_RUN, "entry is leaving"),
	/** Entry holds its bound of open requests. */
	ENTRY_FULL(2013, 503, ExecutionOutcome.NOT_RUN, "entry holds its bound of open requests"),
	/** Path is not served. */
	UNKNOWN_PATH(2014, 404, ExecutionOutcome.NOT_RUN, "unknown path"),
	/** Idempotency key is malformed. */
	MALFORMED_KEY(2015, 400, ExecutionOutcome.NOT_RUN, "malformed idempotency key"),
	/** Configuration was not confirmed recently enough to trust a key. */
	CONFIGURATION_STALE(2016, 503, ExecutionOutcome.NOT_RUN, "configuration was not confirmed recently"),
	/** Every backend server that was asked refused the request. */
	BACKENDS_REFUSED(2017, 503, ExecutionOutcome.NOT_RUN, "every backend server asked refused"),
	/** Backend server's answer was not whole or not its own. */
	ANSWER_UNTRUSTED(2018, 502, ExecutionOutcome.UNKNOWN, "backend server's answer was not whole or not its own"),
	/** Caller closed its connection. */
	CALLER_GONE(2019, 499, ExecutionOutcome.UNKNOWN, "caller closed its connection"),
	/** Time for the request was over before it was sent to a backend server. */
	TIMEOUT_BEFORE_SEND(2020, 503, ExecutionOutcome.NOT_RUN, "time was over before the request was sent"),
	/** Body was not complete. */
	BODY_INCOMPLETE(2021, 400, ExecutionOutcome.NOT_RUN, "body was not complete"),

	/** Queue of the class is full. */
	QUEUE_FULL(3001, 429, ExecutionOutcome.NOT_RUN, "queue of the class is full"),
	/** Deadline can't be met, judged on arrival or in the queue. */
	DEADLINE_UNREACHABLE(3002, 503, ExecutionOutcome.NOT_RUN, "deadline can't be met"),
	/** Side process is leaving. */
	SIDE_LEAVING(3003, 503, ExecutionOutcome.NOT_RUN, "side process is leaving"),
	/** Body came after the grant was taken back. */
	GRANT_EXPIRED(3004, 503, ExecutionOutcome.NOT_RUN, "body came after the grant was taken back"),
	/** Reservation is not known here. */
	UNKNOWN_RESERVATION(3005, 503, ExecutionOutcome.NOT_RUN, "reservation is not known here"),
	/** Cancelled before it started. */
	CANCELLED_BEFORE_START(3006, 499, ExecutionOutcome.NOT_RUN, "cancelled before start"),
	/** Cancelled while it ran. */
	CANCELLED_IN_FLIGHT(3007, 499, ExecutionOutcome.UNKNOWN, "cancelled in flight"),
	/** Log service away, so that a keyed call can't be claimed. */
	CLAIM_UNAVAILABLE(3008, 503, ExecutionOutcome.NOT_RUN, "log service away: keyed calls are refused"),
	/** Key was claimed by a call that runs now. */
	KEY_IN_PROGRESS(3009, 409, ExecutionOutcome.UNKNOWN, "a call with this key is in progress"),
	/** Key was used with another body. */
	KEY_REUSED(3010, 422, ExecutionOutcome.NOT_RUN, "key was used with another body"),
	/** Claimant of the key died and left no result. */
	KEY_OUTCOME_UNKNOWN(3011, 409, ExecutionOutcome.UNKNOWN, "claimant of this key left no result"),
	/** Key is older than the remembered window. */
	KEY_EXPIRED(3012, 409, ExecutionOutcome.UNKNOWN, "key is older than the remembered window"),
	/** Backend server could not be reached. */
	BACKEND_UNREACHABLE(3013, 502, ExecutionOutcome.NOT_RUN, "backend server can't be reached"),
	/** Backend server broke off in mid-answer. */
	BACKEND_BROKE_OFF(3014, 502, ExecutionOutcome.UNKNOWN, "backend server broke off"),
	/** Service or model is not served here. */
	NOT_SERVED_HERE(3015, 503, ExecutionOutcome.NOT_RUN, "service or model is not served here"),
	/** Answer is no longer kept. */
	ANSWER_NOT_KEPT(3016, 503, ExecutionOutcome.UNKNOWN, "answer is no longer kept"),
	/** Deadline passed in flight. */
	DEADLINE_IN_FLIGHT(3017, 504, ExecutionOutcome.UNKNOWN, "deadline passed in flight"),
	/** Contact with the side process was lost after the body was sent. */
	SIDE_LOST(3018, 502, ExecutionOutcome.UNKNOWN, "contact with the side process was lost after the body was sent"),
	/** Side process restarted: earlier reservations and runs are gone. */
	SIDE_RESTARTED(3019, 502, ExecutionOutcome.UNKNOWN, "side process restarted"),
	/** Answer outgrew the buffer kept for it. */
	ANSWER_TOO_LARGE(3020, 502, ExecutionOutcome.UNKNOWN, "answer outgrew its buffer"),
	/** Stream was preempted by a higher tier and waits to resume. */
	PREEMPTED(3021, 503, ExecutionOutcome.UNKNOWN, "preempted by a higher tier"),
	/** Side process has no configuration yet. */
	SIDE_NOT_READY(3022, 503, ExecutionOutcome.NOT_RUN, "side process isn't ready"),
	/** Wait for a grant is over: the reservation was released by its entry. */
	RELEASED(3023, 503, ExecutionOutcome.NOT_RUN, "reservation was released"),

	/** Retried after an answer that said not run. */
	RETRY_NOT_RUN(4001, 0, ExecutionOutcome.NOT_RUN, "retried: not run"),
	/** Generation moved to another backend server with the text so far. */
	RETRY_CONTINUED(4002, 0, ExecutionOutcome.UNKNOWN, "generation continued on another backend server"),
	/** Rest of an answer asked for over a new connection. */
	RETRY_RESUMED(4003, 0, ExecutionOutcome.RAN, "rest of the answer asked for over a new connection"),
	/** Repeatable call sent again after an unknown outcome. */
	RETRY_REPEATABLE(4004, 0, ExecutionOutcome.UNKNOWN, "repeatable call sent again"),
	/** Retry denied by the budget of the class. */
	RETRY_DENIED(4005, 0, ExecutionOutcome.UNKNOWN, "retry denied by the budget"),

	/** Unknown key in a TOML text. */
	UNKNOWN_KEY(5001, 0, ExecutionOutcome.NOT_RUN, "unknown key"),
	/** Wrong type or value in a TOML text. */
	BAD_VALUE(5002, 0, ExecutionOutcome.NOT_RUN, "bad value"),
	/** Unit missing from the name of a key. */
	MISSING_UNIT(5003, 0, ExecutionOutcome.NOT_RUN, "unit missing from the key"),
	/** Bad address in a TOML text. */
	BAD_ADDRESS(5004, 0, ExecutionOutcome.NOT_RUN, "bad address"),
	/** Required key is missing. */
	MISSING_KEY(5005, 0, ExecutionOutcome.NOT_RUN, "required key is missing"),
	/** Text is not TOML. */
	NOT_TOML(5006, 0, ExecutionOutcome.NOT_RUN, "not TOML"),
	/** Reference to something that isn't declared. */
	BAD_REFERENCE(5007, 0, ExecutionOutcome.NOT_RUN, "reference to something not declared"),
	/** File can't be read. */
	FILE_UNREADABLE(5008, 0, ExecutionOutcome.NOT_RUN, "file can't be read"),
	/** Another revision was published first. */
	PUBLISH_CONFLICT(5009, 409, ExecutionOutcome.NOT_RUN, "another revision was published first"),
	/** Accepted revision can't be read by this release. */
	REVISION_UNREADABLE(5010, 0, ExecutionOutcome.UNKNOWN, "accepted revision can't be read by this release"),
	/** Verdict of a publish could not be learnt. */
	PUBLISH_UNKNOWN(5011, 504, ExecutionOutcome.UNKNOWN, "verdict of the publish could not be learnt"),

	/** Wrong or missing token. */
	BAD_TOKEN(6001, 401, ExecutionOutcome.NOT_RUN, "wrong or missing token"),
	/** Protocol version not spoken here. */
	BAD_VERSION(6002, 0, ExecutionOutcome.NOT_RUN, "protocol version not spoken here"),
	/** Malformed or oversized frame. */
	BAD_FRAME(6003, 0, ExecutionOutcome.NOT_RUN, "malformed or oversized frame"),
	/** No heartbeat before its deadline. */
	PEER_SILENT(6004, 0, ExecutionOutcome.UNKNOWN, "no heartbeat before its deadline"),
	/** Peer closed the connection. */
	PEER_CLOSED(6005, 0, ExecutionOutcome.UNKNOWN, "peer closed the connection"),
	/** Log service can't be reached or refuses. */
	LOG_AWAY(6006, 503, ExecutionOutcome.NOT_RUN, "log service away"),
	/** Answer to an append was lost. */
	LOG_ANSWER_LOST(6007, 503, ExecutionOutcome.UNKNOWN, "answer to an append was lost"),
	/** VM list can't be reached. */
	VM_LIST_AWAY(6008, 0, ExecutionOutcome.NOT_RUN, "VM list away"),
	/** Engine refused an order for its fencing number. */
	ORDER_FENCED(6009, 0, ExecutionOutcome.NOT_RUN, "order refused: old fencing number"),
	/** Chunk of an earlier attempt or out of order. */
	STALE_CHUNK(6010, 0, ExecutionOutcome.UNKNOWN, "chunk of an earlier attempt or out of order"),
	/** Connection holds too many unsent frames. */
	PEER_SLOW(6011, 0, ExecutionOutcome.UNKNOWN, "connection holds too many unsent frames"),
	/** Weight store is over its rate. */
	WEIGHT_STORE_BUSY(6012, 0, ExecutionOutcome.NOT_RUN, "weight store is over its rate"),
	/** Engine can't be ordered or asked for its state. */
	ENGINE_AWAY(6013, 0, ExecutionOutcome.UNKNOWN, "engine can't be ordered or asked for its state"),
	/** Operators' endpoint of a process can't be reached. */
	PROCESS_UNREACHABLE(6014, 0, ExecutionOutcome.UNKNOWN, "operators' endpoint of the process can't be reached"),
	/** Records of a topic are no longer held. */
	RECORDS_EXPIRED(6015, 0, ExecutionOutcome.NOT_RUN, "records are no longer held"),
	/** Platform's store refused a call or gave no usable answer. */
	STORE_AWAY(6016, 0, ExecutionOutcome.UNKNOWN, "platform's store refused or gave no usable answer"),
	/** Fault inside the program. */
	INTERNAL(6999, 500, ExecutionOutcome.UNKNOWN, "internal fault");

	private final int number;

	private final int httpStatus;

	private final ExecutionOutcome outcome;

	private final String text;

	ResultCode(int number, int httpStatus, ExecutionOutcome outcome, String text) {
		this.number = number;
		this.httpStatus = httpStatus;
		this.outcome = outcome;
		this.text = text;
	}

	/**
	 * Returns the stable number.
	 * @return the number, 1000 to 6999
	 */
	public int number() {
		return this.number;
	}

	/**
	 * Returns the HTTP status that a caller sees.
	 * @return the status, or 0 if this result never reaches a caller as such
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns what this result says about execution.
	 * @return the outcome
	 */
	public ExecutionOutcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns the text for people.
	 * @return one short phrase
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Finds a result by its number.
	 * @param number the stable number
	 * @return the result, or empty if the number is not assigned
	 */
	public static Optional<ResultCode> ofNumber(int number) {
		return Arrays.stream(values()).filter((code) -> code.number == number).findFirst();
	}

}
