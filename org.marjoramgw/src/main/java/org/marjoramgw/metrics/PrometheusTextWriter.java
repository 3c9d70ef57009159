package org.marjoramgw.metrics;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

/**
 * Writes the metrics of a registry in the Prometheus text exposition format 0.0.4.
 *
 * @author The marjoramgw authors
 */
public final class PrometheusTextWriter {

	private final CollectorRegistry collectors = new CollectorRegistry();

	/**
	 * Creates a writer.
	 * @param registry registry of the metrics to write
	 */
	public PrometheusTextWriter(MetricRegistry registry) {
		new DropwizardExports(registry).register(this.collectors);
	}

	/**
	 * Writes the current values.
	 * @return the metrics in the text format
	 */
	public String write() {
		try (StringWriter writer = new StringWriter()) {
			TextFormat.write004(writer, this.collectors.metricFamilySamples());
			return writer.toString();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
