package org.marjoramgw.ctl.internal;

import java.nio.file.Path;
import java.time.Instant;

import org.marjoramgw.ResultCode;
import org.marjoramgw.settings.Problem;

/**
 * All texts that the operators' commands print.
 *
 * @author The marjoramgw authors
 */
public final class Messages {

	/** Name of the program, as operators type it. */
	public static final String PROGRAM = "marjoramgw";

	static final String[] STATUS_HEADINGS = { "PROCESS", "ROLE", "FAILURE DOMAIN", "INCARNATION", "REVISION",
			"IN FLIGHT", "QUEUED", "SLOTS", "STATE" };

	static final String[] EXPLAIN_HEADINGS = { "TIME", "PROCESS", "FAILURE DOMAIN", "STEP", "CODE", "RESULT",
			"DETAIL" };

	static final String[] HISTORY_HEADINGS = { "REVISION", "PUBLISHED", "OPERATOR", "CHARACTERS" };

	static final String LIVE = "live";

	static final String LEAVING = "leaving";

	static final String NOT_REACHED = "not reached";

	private Messages() {
	}

	/**
	 * Marks a text as an error.
	 * @param text the text
	 * @return the line to print
	 */
	public static String error(String text) {
		return PROGRAM + ": " + text;
	}

	/**
	 * Names a file without mistakes.
	 * @param file the file
	 * @return the text
	 */
	public static String valid(String file) {
		return file + ": no mistakes";
	}

	/**
	 * Names the published revision.
	 * @param revision the new revision
	 * @return the text
	 */
	public static String published(long revision) {
		return "published revision " + revision;
	}

	/**
	 * Names the winner of a publish conflict.
	 * @param base revision that the refused text was based on
	 * @param revision revision in force
	 * @param operator who published it
	 * @return the text
	 */
	public static String conflict(long base, long revision, String operator) {
		return withCode(ResultCode.PUBLISH_CONFLICT) + ": your text is based on revision " + base + ", but "
				+ (operator.isEmpty() ? "another operator" : operator) + " published revision " + revision
				+ "; look at `diff " + revision + " FILE` and publish again with --base " + revision;
	}

	/**
	 * Says that nobody knows whether a publish took effect.
	 * @return the text
	 */
	public static String publishUnknown() {
		return withCode(ResultCode.PUBLISH_UNKNOWN)
				+ ": the text may be in force or may still come in force; look at `history` before you publish again";
	}

	/**
	 * Names a revision that the log doesn't hold.
	 * @param revision the revision
	 * @return the text
	 */
	public static String revisionNotFound(long revision) {
		return "revision " + revision + " is not on the log; `history` lists those that are";
	}

	/**
	 * Says that nothing was published yet.
	 * @return the text
	 */
	public static String nothingPublished() {
		return "nothing is published yet; publish the first text with --base 0";
	}

	/**
	 * Names a process that the VM list doesn't have.
	 * @param processId the process
	 * @return the text
	 */
	public static String processNotFound(String processId) {
		return processId + " is not on the VM list; if the list is behind, give --address IP:PORT";
	}

	/**
	 * Says that a process was told to leave.
	 * @param processId the process
	 * @return the text
	 */
	public static String draining(String processId) {
		return processId + " takes no new work; it stops once what is in flight has ended";
	}

	/**
	 * Says that no process remembers a request.
	 * @param requestId id of the request
	 * @return the text
	 */
	public static String decisionsNotFound(String requestId) {
		return "no process remembers request " + requestId
				+ "; each keeps only its latest decisions, and loses them when it restarts";
	}

	/**
	 * Says that no log tells of a request.
	 * @param requestId id of the request
	 * @return the message
	 */
	public static String requestNotInLogs(String requestId) {
		return "no log tells of request " + requestId + "; of requests that were served in order, only some are logged";
	}

	/**
	 * Says that a log can't be read.
	 * @param file the file
	 * @param reason why
	 * @return the message
	 */
	static String unreadableLog(Path file, String reason) {
		return "log " + file + " can't be read: " + reason;
	}

	/**
	 * Says that two texts are the same.
	 * @return the text
	 */
	public static String noDifference() {
		return "no difference";
	}

	/**
	 * Says what a diff takes.
	 * @return the text
	 */
	public static String diffUsage() {
		return "diff takes a revision, then a revision or a file";
	}

	/**
	 * Writes a point in time.
	 * @param timeMillis the time, in milliseconds since 1970
	 * @return the time in UTC
	 */
	public static String time(long timeMillis) {
		return Instant.ofEpochMilli(timeMillis).toString();
	}

	/**
	 * Describes a revision beside its text.
	 * @param revision the revision
	 * @param operator who published it, or an empty text if not known
	 * @param timeMillis when, in milliseconds since 1970, or 0 if not known
	 * @return the text
	 */
	public static String revisionHeader(long revision, String operator, long timeMillis) {
		String by = operator.isEmpty() ? "" : ", published by " + operator;
		return "revision " + revision + by + ((timeMillis == 0) ? "" : " at " + time(timeMillis));
	}

	/**
	 * Names a setting that the command needs.
	 * @param key its key in the settings file
	 * @return the text
	 */
	static String missingSetting(String key) {
		return "--" + key.replace('_', '-') + ", or " + key + " in the file given by --config, is required";
	}

	/**
	 * Warns that the log could not be read.
	 * @param cause why
	 * @return the text
	 */
	public static String logUnavailable(String cause) {
		return cause + "; revisions are compared among the processes alone";
	}

	/**
	 * Warns of a process that could not be asked.
	 * @param processId the process
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

	static String failureDomainMismatch(String processId, String own, String listed) {
		return processId + " says that it is in " + own + ", the VM list says " + listed;
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

	private static String withCode(ResultCode code) {
		return "E" + code.number() + " " + code.text();
	}

}
