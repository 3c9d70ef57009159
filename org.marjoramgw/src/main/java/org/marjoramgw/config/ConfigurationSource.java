package org.marjoramgw.config;

import java.util.Optional;
import java.util.function.Consumer;

import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerStatus;

/**
 * Source of the configuration that a process uses; thread-safe.
 *
 * @author The marjoramgw authors
 */
public interface ConfigurationSource extends AutoCloseable {

	/**
	 * Returns the active configuration.
	 * @return the configuration, or empty before the first one
	 */
	Optional<Configuration> current();

	/**
	 * Returns the newest known text, the reply to a {@link Message.ConfigFetch}.
	 * @return the text with its revision and log offset, or empty before the first one
	 */
	Optional<Message.ConfigText> currentText();

	/**
	 * Offers a text that a peer sent. It is ignored unless its revision is newer.
	 * @param text the text
	 */
	void offerFromPeer(Message.ConfigText text);

	/**
	 * Registers a listener. It is called immediately if there is a configuration, and
	 * after each change, from any thread.
	 * @param listener the listener
	 */
	void addListener(Consumer<Configuration> listener);

	/**
	 * Returns the request to send to a peer with a newer revision.
	 * @param peer status that the peer reported
	 * @return the request, or empty if the peer has no newer revision
	 */
	default Optional<Message.ConfigFetch> fetchRequestFor(PeerStatus peer) {
		long ownRevision = currentText().map(Message.ConfigText::revision).orElse(0L);
		return (peer.configRevision() > ownRevision) ? Optional.of(new Message.ConfigFetch(ownRevision))
				: Optional.empty();
	}

	/**
	 * Returns the reply to a peer's request.
	 * @param fetch the request
	 * @return the newest known text, or empty if it isn't newer than the peer's
	 */
	default Optional<Message.ConfigText> replyTo(Message.ConfigFetch fetch) {
		return currentText().filter((text) -> text.revision() > fetch.haveRevision());
	}

	@Override
	void close();

}
