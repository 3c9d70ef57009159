package org.marjoramgw.entry.caller;

import java.util.Optional;
import java.util.function.Consumer;

import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.wire.Message;

/**
 * Configuration source with one configuration that never changes, or none.
 *
 * @author The marjoramgw authors
 */
final class FixedConfiguration implements ConfigurationSource {

	private final Configuration configuration;

	FixedConfiguration(Configuration configuration) {
		this.configuration = configuration;
	}

	@Override
	public Optional<Configuration> current() {
		return Optional.ofNullable(this.configuration);
	}

	@Override
	public Optional<Message.ConfigText> currentText() {
		return Optional.empty();
	}

	@Override
	public void offerFromPeer(Message.ConfigText text) {
	}

	@Override
	public void addListener(Consumer<Configuration> listener) {
		current().ifPresent(listener);
	}

	@Override
	public void close() {
	}

}
