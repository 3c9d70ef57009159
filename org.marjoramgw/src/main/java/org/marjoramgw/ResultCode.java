package org.marjoramgw;

import java.util.Arrays;
import java.util.Optional;

/**
 * Numbered result of a request, a retry or another operation.
 * <p>
 * Numbers are stable and never reused. 1xxx: request completed; 2xxx: refused by the
 * entry process; 3xxx: refused or ended by the side process; 4xxx: retries; 5xxx:
 * settings and configuration; 6xxx: peers and platform.
 *
 * @author The marjoramgw authors
 */
public enum ResultCode {

	/** Request ran and its response is complete. */
	OK(1000, 200, ExecutionOutcome.RAN, "answer complete"),
	/** Recorded result of an earlier call with the same idempotency key. */
	OK_REPEATED(1001, 200, ExecutionOutcome.RAN, "recorded outcome of an earlier call with this key"),
	/** Backend server returned an error response. */
	BACKEND_ERROR(1002, 502, ExecutionOutcome.RAN, "backend server answered with an error"),

	/** Request is not well-formed JSON or lacks a required field. */
	MALFORMED_REQUEST(2001, 400, ExecutionOutcome.NOT_RUN, "malformed request"),
	/** Missing or unknown bearer key. */
	UNKNOWN_ACCOUNT(2002, 401, ExecutionOutcome.NOT_RUN, "missing or unknown bearer key"),
	/** Request class is not configured. */
	UNKNOWN_CLASS(2003, 400, ExecutionOutcome.NOT_RUN, "unknown request class"),
	/** Model is not configured. */
	UNKNOWN_MODEL(2004, 404, ExecutionOutcome.NOT_RUN, "unknown model"),
	/** Service is not configured. */
	UNKNOWN_SERVICE(2005, 404, ExecutionOutcome.NOT_RUN, "unknown service"),
	/** Request body is larger than the configured limit. */
	BODY_TOO_LARGE(2006, 413, ExecutionOutcome.NOT_RUN, "body over the bound"),
	/** Entry process has no configuration yet. */
	NO_CONFIGURATION(2007, 503, ExecutionOutcome.NOT_RUN, "no configuration in force yet"),
	/** No live backend server for the service. */
	NO_BACKEND(2008, 503, ExecutionOutcome.NOT_RUN, "no live backend server for the service"),
	/** A service that this one depends on has no live backend server. */
	DEPENDENCY_DOWN(2009, 503, ExecutionOutcome.NOT_RUN,
			"a service that this one depends on has no live backend server"),
	/** Deadline passed before a slot was granted. */
	DEADLINE_BEFORE_GRANT(2010, 503, ExecutionOutcome.NOT_RUN, "no slot was granted before the deadline"),
	/** Every candidate refused the request and the retry budget is exhausted. */
	RETRY_BUDGET_SPENT(2011, 503, ExecutionOutcome.NOT_RUN, "every candidate refused and the retry budget is spent"),
	/** Entry process is draining before it stops. */
	ENTRY_LEAVING(2012, 503, ExecutionOutcome.NOT_RUN, "entry is leaving"),
	/** Entry process has reached its limit of open requests. */
	ENTRY_FULL(2013, 503, ExecutionOutcome.NOT_RUN, "entry holds its bound of open requests"),
	/** Path is not served. */
	UNKNOWN_PATH(2014, 404, ExecutionOutcome.NOT_RUN, "unknown path"),
	/** Idempotency key is malformed. */
	MALFORMED_KEY(2015, 400, ExecutionOutcome.NOT_RUN, "malformed idempotency key"),
	/** Configuration was not confirmed recently enough to accept a bearer key. */
	CONFIGURATION_STALE(2016, 503, ExecutionOutcome.NOT_RUN, "configuration was not confirmed recently"),
	/** Every backend server that was tried refused the request. */
	BACKENDS_REFUSED(2017, 503, ExecutionOutcome.NOT_RUN, "every backend server asked refused"),
	/** Response is incomplete or doesn't come from the addressed backend server. */
	ANSWER_UNTRUSTED(2018, 502, ExecutionOutcome.UNKNOWN, "backend server's answer was not whole or not its own"),
	/** Caller closed its connection. */
	CALLER_GONE(2019, 499, ExecutionOutcome.UNKNOWN, "caller closed its connection"),
	/** Request timed out before it was sent to a backend server. */
	TIMEOUT_BEFORE_SEND(2020, 503, ExecutionOutcome.NOT_RUN, "time was over before the request was sent"),
	/** Request body was incomplete. */
	BODY_INCOMPLETE(2021, 400, ExecutionOutcome.NOT_RUN, "body was not complete"),
	/** Part of the prompt is quarantined because it crashes backend servers. */
	PROMPT_PART_QUARANTINED(2022, 400, ExecutionOutcome.NOT_RUN,
			"a part of the prompt crashes backend servers and is refused"),
	/** Entry process stopped before the request that it had sent was answered. */
	ENTRY_STOPPED(2023, 502, ExecutionOutcome.UNKNOWN, "entry stopped while the request was in flight"),
	/** Head of the request can't be forwarded as it was sent. */
	MALFORMED_HEAD(2024, 400, ExecutionOutcome.NOT_RUN, "a header isn't valid UTF-8 or has ambiguous characters"),
	/** Nobody can say at which software version the stream to be taken up began. */
	STREAM_ORIGIN_UNKNOWN(2025, 503, ExecutionOutcome.NOT_RUN, "software version that began the stream is not known"),
	/** Request body was not received in time. */
	BODY_TIMEOUT(2030, 408, ExecutionOutcome.NOT_RUN, "body was not received in time"),
	/** No memory was left for the request body. */
	MEMORY_EXHAUSTED(2031, 503, ExecutionOutcome.NOT_RUN, "memory for callers is exhausted"),

	/** Queue of the request class is full. */
	QUEUE_FULL(3001, 429, ExecutionOutcome.NOT_RUN, "queue of the class is full"),
	/** Deadline can't be met, as estimated on arrival or in the queue. */
	DEADLINE_UNREACHABLE(3002, 503, ExecutionOutcome.NOT_RUN, "deadline can't be met"),
	/** Side process is draining before it stops. */
	SIDE_LEAVING(3003, 503, ExecutionOutcome.NOT_RUN, "side process is leaving"),
	/** Request body arrived after the grant had been revoked. */
	GRANT_EXPIRED(3004, 503, ExecutionOutcome.NOT_RUN, "body came after the grant was taken back"),
	/** Side process doesn't know the reservation. */
	UNKNOWN_RESERVATION(3005, 503, ExecutionOutcome.NOT_RUN, "reservation is not known here"),
	/** Request was cancelled before it started. */
	CANCELLED_BEFORE_START(3006, 499, ExecutionOutcome.NOT_RUN, "cancelled before start"),
	/** Request was cancelled while it ran. */
	CANCELLED_IN_FLIGHT(3007, 499, ExecutionOutcome.UNKNOWN, "cancelled in flight"),
	/** Log service is unavailable, so an idempotency key can't be claimed. */
	CLAIM_UNAVAILABLE(3008, 503, ExecutionOutcome.NOT_RUN, "log service away: keyed calls are refused"),
	/** A call that is still in progress holds the claim of the key. */
	KEY_IN_PROGRESS(3009, 409, ExecutionOutcome.UNKNOWN, "a call with this key is in progress"),
	/** Key was already used with a different request. */
	KEY_REUSED(3010, 422, ExecutionOutcome.NOT_RUN, "key was used with another body"),
	/** Process that claimed the key died without recording a result. */
	KEY_OUTCOME_UNKNOWN(3011, 409, ExecutionOutcome.UNKNOWN, "claimant of this key left no result"),
	/** Key is older than the window for which claims are retained. */
	KEY_EXPIRED(3012, 409, ExecutionOutcome.UNKNOWN, "key is older than the remembered window"),
	/** Connection to the backend server failed. */
	BACKEND_UNREACHABLE(3013, 502, ExecutionOutcome.NOT_RUN, "backend server can't be reached"),
	/** Backend server closed the connection during its response. */
	BACKEND_BROKE_OFF(3014, 502, ExecutionOutcome.UNKNOWN, "backend server broke off"),
	/** Side process doesn't serve the service or model. */
	NOT_SERVED_HERE(3015, 503, ExecutionOutcome.NOT_RUN, "service or model is not served here"),
	/** Response was not recorded or is no longer available. */
	ANSWER_NOT_KEPT(3016, 503, ExecutionOutcome.UNKNOWN, "answer is no longer kept"),
	/** Deadline passed while the request was in flight. */
	DEADLINE_IN_FLIGHT(3017, 504, ExecutionOutcome.UNKNOWN, "deadline passed in flight"),
	/** Connection to the side process was lost after the request body was sent. */
	SIDE_LOST(3018, 502, ExecutionOutcome.UNKNOWN, "contact with the side process was lost after the body was sent"),
	/** Side process restarted and lost its earlier reservations and runs. */
	SIDE_RESTARTED(3019, 502, ExecutionOutcome.UNKNOWN, "side process restarted"),
	/** Response exceeded its buffer. */
	ANSWER_TOO_LARGE(3020, 502, ExecutionOutcome.UNKNOWN, "answer outgrew its buffer"),
	/** Stream was preempted by a request of a higher tier and waits to resume. */
	PREEMPTED(3021, 503, ExecutionOutcome.UNKNOWN, "preempted by a higher tier"),
	/** Side process has no configuration yet. */
	SIDE_NOT_READY(3022, 503, ExecutionOutcome.NOT_RUN, "side process isn't ready"),
	/** Entry process released the reservation instead of sending the request body. */
	RELEASED(3023, 503, ExecutionOutcome.NOT_RUN, "reservation was released"),

	/** Retried because the request was reported as not run. */
	RETRY_NOT_RUN(4001, 0, ExecutionOutcome.NOT_RUN, "retried: not run"),
	/** Generation continued on another backend server from the text generated so far. */
	RETRY_CONTINUED(4002, 0, ExecutionOutcome.UNKNOWN, "generation continued on another backend server"),
	/** Rest of a response was requested over a new connection. */
	RETRY_RESUMED(4003, 0, ExecutionOutcome.RAN, "rest of the answer asked for over a new connection"),
	/** Repeatable call was sent again after an unknown outcome. */
	RETRY_REPEATABLE(4004, 0, ExecutionOutcome.UNKNOWN, "repeatable call sent again"),
	/** Retry budget of the request class denied a retry. */
	RETRY_DENIED(4005, 0, ExecutionOutcome.UNKNOWN, "retry denied by the budget"),

	/** TOML document has an unknown key. */
	UNKNOWN_KEY(5001, 0, ExecutionOutcome.NOT_RUN, "unknown key"),
	/** Value in a TOML document has the wrong type or is out of range. */
	BAD_VALUE(5002, 0, ExecutionOutcome.NOT_RUN, "bad value"),
	/** Name of a key in a TOML document lacks its unit suffix. */
	MISSING_UNIT(5003, 0, ExecutionOutcome.NOT_RUN, "unit missing from the key"),
	/** Address in a TOML document is malformed. */
	BAD_ADDRESS(5004, 0, ExecutionOutcome.NOT_RUN, "bad address"),
	/** Required key is missing. */
	MISSING_KEY(5005, 0, ExecutionOutcome.NOT_RUN, "required key is missing"),
	/** Document is not valid TOML. */
	NOT_TOML(5006, 0, ExecutionOutcome.NOT_RUN, "not TOML"),
	/** Reference to an undeclared name. */
	BAD_REFERENCE(5007, 0, ExecutionOutcome.NOT_RUN, "reference to something not declared"),
	/** File can't be read. */
	FILE_UNREADABLE(5008, 0, ExecutionOutcome.NOT_RUN, "file can't be read"),
	/** Another revision was published first. */
	PUBLISH_CONFLICT(5009, 409, ExecutionOutcome.NOT_RUN, "another revision was published first"),
	/** Accepted revision can't be read by this release. */
	REVISION_UNREADABLE(5010, 0, ExecutionOutcome.UNKNOWN, "accepted revision can't be read by this release"),
	/** Result of a publish operation is unknown. */
	PUBLISH_UNKNOWN(5011, 504, ExecutionOutcome.UNKNOWN, "verdict of the publish could not be learnt"),

	/** Wrong or missing token. */
	BAD_TOKEN(6001, 401, ExecutionOutcome.NOT_RUN, "wrong or missing token"),
	/** Protocol version is not supported. */
	BAD_VERSION(6002, 0, ExecutionOutcome.NOT_RUN, "protocol version not spoken here"),
	/** Malformed or oversized frame. */
	BAD_FRAME(6003, 0, ExecutionOutcome.NOT_RUN, "malformed or oversized frame"),
	/** Peer sent no heartbeat before the heartbeat timeout. */
	PEER_SILENT(6004, 0, ExecutionOutcome.UNKNOWN, "no heartbeat before its deadline"),
	/** Peer closed the connection. */
	PEER_CLOSED(6005, 0, ExecutionOutcome.UNKNOWN, "peer closed the connection"),
	/** Log service can't be reached or refused a call. */
	LOG_AWAY(6006, 503, ExecutionOutcome.NOT_RUN, "log service away"),
	/** Response to an append was lost. */
	LOG_ANSWER_LOST(6007, 503, ExecutionOutcome.UNKNOWN, "answer to an append was lost"),
	/** VM list can't be read. */
	VM_LIST_AWAY(6008, 0, ExecutionOutcome.NOT_RUN, "VM list away"),
	/** Engine refused a command that carries an old fencing number. */
	ORDER_FENCED(6009, 0, ExecutionOutcome.NOT_RUN, "order refused: old fencing number"),
	/** Chunk is out of order or belongs to an earlier attempt. */
	STALE_CHUNK(6010, 0, ExecutionOutcome.UNKNOWN, "chunk of an earlier attempt or out of order"),
	/** Connection has too many unsent frames. */
	PEER_SLOW(6011, 0, ExecutionOutcome.UNKNOWN, "connection holds too many unsent frames"),
	/** Weight store refused a request over its rate limit. */
	WEIGHT_STORE_BUSY(6012, 0, ExecutionOutcome.NOT_RUN, "weight store is over its rate"),
	/** Engine doesn't respond to commands or state queries. */
	ENGINE_AWAY(6013, 0, ExecutionOutcome.UNKNOWN, "engine can't be ordered or asked for its state"),
	/** Operator endpoint of a process can't be reached. */
	PROCESS_UNREACHABLE(6014, 0, ExecutionOutcome.UNKNOWN, "operators' endpoint of the process can't be reached"),
	/** Requested records of a topic have expired. */
	RECORDS_EXPIRED(6015, 0, ExecutionOutcome.NOT_RUN, "records are no longer held"),
	/** Platform's store refused a call or returned no usable response. */
	STORE_AWAY(6016, 0, ExecutionOutcome.UNKNOWN, "platform's store refused or gave no usable answer"),
	/** Internal error. */
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
	 * Returns the HTTP status of a response with this result.
	 * @return the status, or 0 if this result is never sent to a caller
	 */
	public int httpStatus() {
		return this.httpStatus;
	}

	/**
	 * Returns whether the request was executed.
	 * @return the outcome
	 */
	public ExecutionOutcome outcome() {
		return this.outcome;
	}

	/**
	 * Returns a human-readable description.
	 * @return a short phrase
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
