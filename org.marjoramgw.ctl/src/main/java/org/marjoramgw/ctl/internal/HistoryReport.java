package org.marjoramgw.ctl.internal;

import java.util.List;

import org.marjoramgw.config.Revision;

/**
 * Revisions that the log holds, without their texts.
 *
 * @param revisions the revisions, oldest first
 * @author The marjoramgw authors
 */
public record HistoryReport(List<Entry> revisions) {

	/**
	 * Creates a report.
	 * @param revisions the revisions, oldest first
	 * @return the report
	 */
	public static HistoryReport of(List<Revision> revisions) {
		return new HistoryReport(revisions.stream()
			.map((each) -> new Entry(each.revision(), each.operator(), each.timeMillis(), each.text().length()))
			.toList());
	}

	/**
	 * Writes the report for people.
	 * @return a table
	 */
	public String toText() {
		TextTable table = new TextTable(Messages.HISTORY_HEADINGS);
		this.revisions.forEach((each) -> table.add(each.revision(), Messages.time(each.timeMillis()), each.operator(),
				each.textLength()));
		return table.toString();
	}

	/**
	 * One revision.
	 *
	 * @param revision its number
	 * @param operator who published it
	 * @param timeMillis when, by the log service's clock, in milliseconds
	 * @param textLength length of its text, in characters
	 */
	public record Entry(long revision, String operator, long timeMillis, int textLength) {
	}

}
