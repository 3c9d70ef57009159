package org.marjoramgw.http;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Head of a response as far as it tells where the response ends; not thread-safe.
 * <p>
 * A head that has a line which is no field, or that names the length of the body in
 * another way than a response may, is spoilt: what the server meant isn't known.
 *
 * @author The marjoramgw authors
 */
final class ResponseHead {

	private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3})( .*)?");

	private static final Pattern LENGTH = Pattern.compile("\\d{1,18}");

	/** Field: a name without a space before the colon, and no control characters. */
	private static final Pattern FIELD = Pattern
		.compile("([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):([\\t\\x20-\\x7e\\x80-\\xff]*)");

	private static final int MIN_FINAL_STATUS = 200;

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private final boolean noBody;

	private int status;

	private int framingCount;

	private long lengthBytes;

	private boolean chunked;

	private boolean plain = true;

	private boolean spoilt;

	private boolean begun;

	ResponseHead(boolean noBody) {
		this.noBody = noBody;
	}

	/**
	 * Tells whether a status line that ends in the present line is a further one.
	 * @param line the line without the last byte of the status line
	 * @return whether the head had begun before it
	 */
	boolean hasStatusLine(CharSequence line) {
		return this.begun || line.length() >= "HTTP/1.1 200".length();
	}

	/**
	 * Adds a line.
	 * @param line the line without its end
	 */
	void add(String line) {
		if (!this.begun) {
			this.begun = true;
			Matcher matcher = STATUS.matcher(line);
			this.plain = matcher.matches();
			this.status = this.plain ? Integer.parseInt(matcher.group(1)) : 0;
			return;
		}
		Matcher field = FIELD.matcher(line);
		if (!field.matches()) {
			this.spoilt = true;
			return;
		}
		addField(field.group(1).toLowerCase(Locale.ROOT), field.group(2).trim());
	}

	private void addField(String name, String value) {
		if (name.equals("content-length")) {
			this.framingCount++;
			this.spoilt |= !LENGTH.matcher(value).matches();
			this.lengthBytes = this.spoilt ? 0 : Long.parseLong(value);
		}
		else if (name.equals("transfer-encoding")) {
			this.framingCount++;
			this.chunked = true;
			this.spoilt |= !value.equalsIgnoreCase("chunked");
		}
	}

	/**
	 * Ends the head. After an informational one, another is expected.
	 * @return how the end of the response is found
	 */
	Framing end() {
		if (this.spoilt || this.framingCount > 1) {
			return Framing.SPOILT;
		}
		if (this.plain && this.status < MIN_FINAL_STATUS && this.status != SWITCHING_PROTOCOLS && this.begun) {
			this.begun = false;
			this.framingCount = 0;
			this.chunked = false;
			return Framing.INFORMATIONAL;
		}
		if (!this.plain || this.status < MIN_FINAL_STATUS) {
			return Framing.UNKNOWN;
		}
		if (this.noBody || this.status == NO_CONTENT || this.status == NOT_MODIFIED) {
			return Framing.NO_BODY;
		}
		if (this.framingCount == 0) {
			return Framing.UNKNOWN;
		}
		return this.chunked ? Framing.CHUNKED : Framing.LENGTH;
	}

	/**
	 * Returns the length of the body.
	 * @return length in bytes, with {@link Framing#LENGTH}
	 */
	long lengthBytes() {
		return this.lengthBytes;
	}

	/**
	 * How the end of a response is found.
	 */
	enum Framing {

		INFORMATIONAL, NO_BODY, LENGTH, CHUNKED, UNKNOWN, SPOILT

	}

}
