package org.marjoramgw.side.order;

import java.util.Optional;
import java.util.function.Consumer;

import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.wire.Message;

/**
 * Configuration source that always supplies the same configuration.
 *
 * @author The marjoramgw authors
 */
final class FixedConfigurationSource implements ConfigurationSource {

	private final Configuration configuration;

	FixedConfigurationSource(Configuration configuration) {
		this.configuration = configuration;
	}

	@Override
	public Optional<Configuration> current() {
		return Optional.of(this.configuration);
	}

	@Override
	public Optional<Message.ConfigText> currentText() {
		return Optional.empty();
	}

	@Override
	public void offerFromPeer(Message.ConfigText text) {
		throw new UnsupportedOperationException();
	}

	@Override
	public void addListener(Consumer<Configuration> listener) {
		listener.accept(this.configuration);
	}

	@Override
	public void close() {
		// no resources to release
	}

}
