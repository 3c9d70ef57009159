package org.marjoramgw.config;

import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.config.internal.AcceptedText;
import org.marjoramgw.config.internal.ConfigurationLogReader;
import org.marjoramgw.config.internal.ConfigurationRecordCodec;
import org.marjoramgw.config.internal.ConfigurationState;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;

/**
 * Accepted revisions that the log still tells of.
 *
 * @author The marjoramgw authors
 */
public final class ConfigurationHistory {

	private final LogService log;

	/**
	 * Creates a history.
	 * @param log the log service
	 */
	public ConfigurationHistory(LogService log) {
		this.log = log;
	}

	/**
	 * Reads the accepted revisions, from the oldest that is retained or checkpointed.
	 * @return the revisions in rising order, empty before the first
	 * @throws LogUnavailableException if the log can't be read or holds neither its first
	 * record nor a checkpoint
	 */
	public List<Revision> read() throws LogUnavailableException {
		ConfigurationRecordCodec codec = new ConfigurationRecordCodec();
		ConfigurationState fold = new ConfigurationState(codec);
		List<Revision> revisions = new ArrayList<>();
		ConfigurationLogReader reader = new ConfigurationLogReader(this.log, codec, fold);
		boolean complete = reader.catchUp((record) -> addIfNew(fold, revisions));
		addIfNew(fold, revisions);
		if (!complete) {
			throw new LogUnavailableException("stream of the configuration can't be read to its end", null);
		}
		return List.copyOf(revisions);
	}

	private static void addIfNew(ConfigurationState fold, List<Revision> revisions) {
		long known = revisions.isEmpty() ? 0 : revisions.get(revisions.size() - 1).revision();
		if (fold.revision() > known) {
			revisions.add(revisionOf(fold.accepted().orElseThrow()));
		}
	}

	private static Revision revisionOf(AcceptedText accepted) {
		return new Revision(accepted.revision(), accepted.timeMillis(), accepted.operator(), accepted.text());
	}

}
