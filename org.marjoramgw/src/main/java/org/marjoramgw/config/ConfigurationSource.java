package org.marjoramgw.config;

import java.util.Optional;
import java.util.function.Consumer;

import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerStatus;

/**
 * Source of the accepted configuration of a process; thread-safe.
 *
 * @author The marjoramgw authors
 */
public interface ConfigurationSource extends AutoCloseable {

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or empty before the first one
	 */
	Optional<Configuration> current();

	/**
	 * Returns the text in force, to answer {@link Message.ConfigFetch}.
	 * @return the text with revision and offset, or empty before the first one
	 */
	Optional<Message.ConfigText> currentText();

	/**
	 * Takes a text that a peer sent; one that isn't newer is ignored.
	 * @param text the text
	 */
	void offerFromPeer(Message.ConfigText text);

	/**
	 * Registers a listener; it is called at once if there is a configuration, and after
	 * each change, from any thread.
	 * @param listener the listener
	 */
	void addListener(Consumer<Configuration> listener);

	/**
	 * Returns what to ask of a peer that is ahead of this process.
	 * @param peer what the peer said of itself
	 * @return the question, or empty if the peer knows nothing newer
	 */
	default Optional<Message.ConfigFetch> fetchRequestFor(PeerStatus peer) {
		long ownRevision = currentText().map(Message.ConfigText::revision).orElse(0L);
		return (peer.configRevision() > ownRevision) ? Optional.of(new Message.ConfigFetch(ownRevision))
				: Optional.empty();
	}

	/**
	 * Returns the answer to a peer's question.
	 * @param fetch the question
	 * @return the text in force, or empty if it isn't newer than the peer's
	 */
	default Optional<Message.ConfigText> replyTo(Message.ConfigFetch fetch) {
		return currentText().filter((text) -> text.revision() > fetch.haveRevision());
	}

	@Override
	void close();

}
