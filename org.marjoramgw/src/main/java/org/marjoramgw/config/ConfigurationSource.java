package org.marjoramgw.config;

import java.util.Optional;
import java.util.function.Consumer;

import org.marjoramgw.wire.Message;

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
	void listen(Consumer<Configuration> listener);

	@Override
	void close();

}
