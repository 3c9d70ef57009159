package org.marjoramgw.ctl.internal;

import java.nio.file.Path;
import java.time.Instant;

import org.marjoramgw.ResultCode;
import org.marjoramgw.settings.Problem;

/**
 * Messages that the operators' commands print.
 *
 * @author The marjoramgw authors
 */
public final class Messages {

	/** Name of the program on the command line. */
	public static final String PROGRAM = "marjoramgw";

	static final String[] STATUS_HEADINGS = { "PROCESS", "ROLE", "FAILURE DOMAIN", "INCARNATION", "REVISION",
			"IN FLIGHT", "QUEUED", "SLOTS", "STATE" };

	static final String[] EXPLAIN_HEADINGS = { "TIME", "PROCESS", "FAILURE DOMAIN", "STEP", "CODE", "RESULT",
			"DETAIL" };

	static final String[] WHERE_HEADINGS = { "SERVER", "FAILURE DOMAIN", "CHOICE", "OBSTACLE", "SUSPECT", "LOAD",
			"PREFILLS", "WAITING", "ESTIMATES" };

	static final String[] HISTORY_HEADINGS = { "REVISION", "PUBLISHED", "OPERATOR", "CHARACTERS" };

	static final String LIVE = "live";

	static final String LEAVING = "leaving";

	static final String NOT_REACHED = "not reached";

	private Messages() {
	}

	/**
	 * Formats an error.
	 * @param text the error
	 * @return the line to print
	 */
	public static String error(String text) {
		return PROGRAM + ": " + text;
	}

	/**
	 * Reports a valid configuration file.
	 * @param file name of the file
	 * @return the text
	 */
	public static String valid(String file) {
		return file + ": no mistakes";
	}

	/**
	 * Reports a published revision.
	 * @param revision the new revision
	 * @return the text
	 */
	public static String published(long revision) {
		return "published revision " + revision;
	}

	/**
	 * Reports a publish conflict.
	 * @param base revision that the rejected text was based on
	 * @param revision revision in force
	 * @param operator operator who published that revision, or an empty text if not known
	 * @return the text
	 */
	public static String conflict(long base, long revision, String operator) {
		return withCode(ResultCode.PUBLISH_CONFLICT) + ": your text is based on revision " + base + ", but "
				+ (operator.isEmpty() ? "another operator" : operator) + " published revision " + revision
				+ "; look at `diff " + revision + " FILE` and publish again with --base " + revision;
	}

	/**
	 * Reports that the outcome of a publication is unknown.
	 * @return the text
	 */
	public static String publishUnknown() {
		return withCode(ResultCode.PUBLISH_UNKNOWN)
				+ ": the text may be in force or may still take effect; look at `history` before you publish again";
	}

	/**
	 * Reports a revision that isn't in the log.
	 * @param revision number of the revision
	 * @return the text
	 */
	public static String revisionNotFound(long revision) {
		return "revision " + revision + " is not on the log; `history` lists those that are";
	}

	/**
	 * Reports that no revision has been published.
	 * @return the text
	 */
	public static String nothingPublished() {
		return "nothing is published yet; publish the first text with --base 0";
	}

	/**
	 * Reports a process that isn't in the VM list.
	 * @param processId id of the process
	 * @return the text
	 */
	public static String processNotFound(String processId) {
		return processId + " is not on the VM list; if the list is behind, give --address IP:PORT";
	}

	/**
	 * Reports that a process is draining.
	 * @param processId id of the process
	 * @return the text
	 */
	public static String draining(String processId) {
		return processId + " takes no new work; it stops once what is in flight has ended";
	}

	/**
	 * Reports that no process holds decisions about a request.
	 * @param requestId id of the request
	 * @return the text
	 */
	public static String decisionsNotFound(String requestId) {
		return "no process remembers request " + requestId
				+ "; each keeps only its latest decisions, and loses them when it restarts";
	}

	/**
	 * Reports that no log file has lines about a request.
	 * @param requestId id of the request
	 * @return the text
	 */
	public static String requestNotInLogs(String requestId) {
		return "no log line for request " + requestId + "; not every successful request is logged";
	}

	/**
	 * Reports a log file that can't be read.
	 * @param file the file
	 * @param reason cause of the failure
	 * @return the text
	 */
	static String unreadableLog(Path file, String reason) {
		return "log " + file + " can't be read: " + reason;
	}

	/**
	 * Reports that two texts are equal.
	 * @return the text
	 */
	public static String noDifference() {
		return "no difference";
	}

	/**
	 * Returns the usage of the diff command.
	 * @return the text
	 */
	public static String diffUsage() {
		return "diff takes a revision, then a revision or a file";
	}

	/**
	 * Formats a point in time.
	 * @param timeMillis the time, in milliseconds since the epoch
	 * @return the time in UTC, in ISO 8601 format
	 */
	public static String time(long timeMillis) {
		return Instant.ofEpochMilli(timeMillis).toString();
	}

	/**
	 * Describes the revision whose text is shown.
	 * @param revision number of the revision
	 * @param operator operator who published it, or an empty text if not known
	 * @param timeMillis time of publication, in milliseconds since the epoch, or 0 if not
	 * known
	 * @return the text
	 */
	public static String revisionHeader(long revision, String operator, long timeMillis) {
		String publishedBy = operator.isEmpty() ? "" : ", published by " + operator;
		return "revision " + revision + publishedBy + ((timeMillis == 0) ? "" : " at " + time(timeMillis));
	}

	/**
	 * Reports a required setting that is missing.
	 * @param key key of the setting in the settings file
	 * @return the text
	 */
	static String missingSetting(String key) {
		return "--" + key.replace('_', '-') + ", or " + key + " in the file given by --config, is required";
	}

	/**
	 * Warns that the log service is unavailable.
	 * @param cause cause of the failure
	 * @return the text
	 */
	public static String logUnavailable(String cause) {
		return cause + "; revisions are compared among the processes alone";
	}

	/**
	 * Warns that the decisions of an unreachable process are missing.
	 * @param processId id of the process
	 * @return the text
	 */
	public static String decisionsIncomplete(String processId) {
		return processId + " can't be reached; what it decided is missing here";
	}

	static String warning(String text) {
		return "marjoramgw: warning: " + text;
	}

	static String unexpectedStatus(String operatorAddress, int status) {
		return operatorAddress + " answered with status " + status;
	}

	static String newestRevision(long revision) {
		return "newest revision: " + revision;
	}

	static String outdatedRevision(String processId, long revision, long newest) {
		return processId + " lags: revision " + revision + " in force, newest is " + newest;
	}

	static String unreachable(String processId, String failureDomain, String error) {
		return processId + " in " + failureDomain + " can't be reached: " + error;
	}

	static String failureDomainMismatch(String processId, String reported, String listed) {
		return processId + " says that it is in " + reported + ", the VM list says " + listed;
	}

	static String problem(Problem problem) {
		String key = problem.key().isEmpty() ? "" : ": " + problem.key();
		return problem.file() + ":" + problem.line() + ": " + withCode(problem.code()) + key + "\n    remedy: "
				+ remedy(problem);
	}

	private static String remedy(Problem problem) {
		return switch (problem.code()) {
			case UNKNOWN_KEY -> "remove it, or use " + problem.expected();
			case MISSING_UNIT -> "rename it to " + problem.expected();
			case MISSING_KEY -> "add it with " + problem.expected();
			case BAD_VALUE, BAD_ADDRESS -> "give " + problem.expected();
			case BAD_REFERENCE -> "declare it, or name " + problem.expected();
			default -> "give " + problem.expected();
		};
	}

	/**
	 * Reports an address that isn't an IP address and a port.
	 * @param option name of the option
	 * @param reason what is wrong with it
	 * @return the text
	 */
	public static String badAddress(String option, String reason) {
		return option + ": " + reason;
	}

	static String notExplained(String address, int status, String reason) {
		return unexpectedStatus(address, status) + ": " + reason.strip();
	}

	private static String withCode(ResultCode code) {
		return "E" + code.number() + " " + code.text();
	}

}
