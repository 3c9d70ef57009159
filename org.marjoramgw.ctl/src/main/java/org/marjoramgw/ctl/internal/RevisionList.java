package org.marjoramgw.ctl.internal;

import java.util.List;
import java.util.Optional;

import org.marjoramgw.config.ConfigurationHistory;
import org.marjoramgw.config.Revision;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.log.LogService;

/**
 * Accepted revisions that the log holds now.
 *
 * @author The marjoramgw authors
 */
public final class RevisionList {

	private final List<Revision> revisions;

	/**
	 * Reads the list.
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
	 * @param number its number
	 * @return the revision, or empty if the log doesn't hold it
	 */
	public Optional<Revision> find(long number) {
		return this.revisions.stream().filter((each) -> each.revision() == number).findFirst();
	}

	/**
	 * Returns the newest revision.
	 * @return the revision, or empty if nothing is published
	 */
	public Optional<Revision> newest() {
		return this.revisions.isEmpty() ? Optional.empty() : Optional.of(this.revisions.get(this.revisions.size() - 1));
	}

}
