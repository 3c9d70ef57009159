package org.marjoramgw.ctl.internal;

import java.util.List;
import java.util.Optional;

import org.marjoramgw.config.ConfigurationHistory;
import org.marjoramgw.config.Revision;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;

/**
 * Accepted revisions that are retained in the log service.
 *
 * @author The marjoramgw authors
 */
public final class RevisionList {

	private final List<Revision> revisions;

	/**
	 * Reads the revisions from the log service.
	 * @param log the log service
	 * @throws LogUnavailableException if the log can't be read
	 */
	public RevisionList(LogService log) throws LogUnavailableException {
		this.revisions = new ConfigurationHistory(log).read();
	}

	/**
	 * Returns all revisions.
	 * @return the revisions, oldest first
	 */
	public List<Revision> all() {
		return this.revisions;
	}

	/**
	 * Finds one revision.
	 * @param number number of the revision
	 * @return the revision, or empty if it isn't in the log
	 */
	public Optional<Revision> find(long number) {
		return this.revisions.stream().filter((revision) -> revision.revision() == number).findFirst();
	}

	/**
	 * Returns the newest revision.
	 * @return the revision, or empty if there is none
	 */
	public Optional<Revision> newest() {
		return this.revisions.isEmpty() ? Optional.empty() : Optional.of(this.revisions.get(this.revisions.size() - 1));
	}

}
