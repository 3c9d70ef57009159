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
 * History of the accepted revisions that can still be read from the log.
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
	 * Reads the accepted revisions, starting with the oldest that is retained in the log
	 * or in a checkpoint.
	 * @return the revisions in ascending order, empty before the first
	 * @throws LogUnavailableException if the log can't be read or holds neither its first
	 * record nor a checkpoint
	 */
	public List<Revision> read() throws LogUnavailableException {
		ConfigurationRecordCodec codec = new ConfigurationRecordCodec();
		ConfigurationState state = new ConfigurationState(codec);
		List<Revision> revisions = new ArrayList<>();
		ConfigurationLogReader reader = new ConfigurationLogReader(this.log, codec, state);
		boolean complete = reader.catchUp((record) -> addIfNew(state, revisions));
		addIfNew(state, revisions);
		if (!complete) {
			throw new LogUnavailableException("configuration stream can't be read to its end", null);
		}
		return List.copyOf(revisions);
	}

	private static void addIfNew(ConfigurationState state, List<Revision> revisions) {
		long latest = revisions.isEmpty() ? 0 : revisions.get(revisions.size() - 1).revision();
		if (state.revision() > latest) {
			revisions.add(revisionOf(state.accepted().orElseThrow()));
		}
	}

	private static Revision revisionOf(AcceptedText accepted) {
		return new Revision(accepted.revision(), accepted.timeMillis(), accepted.operator(), accepted.text());
	}

}
