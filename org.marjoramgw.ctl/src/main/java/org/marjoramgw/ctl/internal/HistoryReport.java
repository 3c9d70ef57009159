package org.marjoramgw.ctl.internal;

import java.util.List;

import org.marjoramgw.config.Revision;

/**
 * Revisions that are retained in the log service, without their texts.
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
			.map((revision) -> new Entry(revision.revision(), revision.operator(), revision.timeMillis(),
					revision.text().length()))
			.toList());
	}

	/**
	 * Formats the report as text.
	 * @return a table with one line for each revision
	 */
	public String toText() {
		TextTable table = new TextTable(Messages.HISTORY_HEADINGS);
		this.revisions.forEach((entry) -> table.add(entry.revision(), Messages.time(entry.timeMillis()),
				entry.operator(), entry.textLength()));
		return table.toString();
	}

	/**
	 * Published revision.
	 *
	 * @param revision number of the revision
	 * @param operator operator who published it
	 * @param timeMillis time of publication by the clock of the log service, in
	 * milliseconds
	 * @param textLength length of the configuration text, in characters
	 */
	public record Entry(long revision, String operator, long timeMillis, int textLength) {
	}

}
