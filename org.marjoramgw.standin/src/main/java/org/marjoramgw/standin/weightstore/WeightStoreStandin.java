package org.marjoramgw.standin.weightstore;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.AllDirectives;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.marjoramgw.HostPort;
import org.marjoramgw.standin.HttpEndpoint;
import org.marjoramgw.standin.Json;
import org.marjoramgw.standin.Standin;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.standin.TokenBucket;

/**
 * Weight store stand-in whose loads slow each other down.
 *
 * @author The marjoramgw authors
 */
public final class WeightStoreStandin extends AllDirectives implements Standin {

	private static final double SECONDS_PER_MINUTE = 60;

	private final StandinSystem system;

	private final WeightStoreSettings settings;

	private final TokenBucket loads;

	private final AtomicInteger underWay = new AtomicInteger();

	private final HttpEndpoint endpoint;

	private WeightStoreStandin(StandinSystem system, WeightStoreSettings settings) {
		this.system = system;
		this.settings = settings;
		this.loads = new TokenBucket(system.clock(), settings.loadsPerMinute() / SECONDS_PER_MINUTE,
				settings.burstCount());
		this.endpoint = new HttpEndpoint(system, settings.httpAddress(),
				path(PathMatchers.segment("weights").slash(PathMatchers.segment()),
						(model) -> get(() -> completeWithFuture(load(model)))));
	}

	/**
	 * Starts a stand-in.
	 * @param system the shared threads
	 * @param settings its settings
	 * @return the running stand-in
	 */
	public static WeightStoreStandin start(StandinSystem system, WeightStoreSettings settings) {
		return new WeightStoreStandin(system, settings);
	}

	@Override
	public HostPort address() {
		return this.endpoint.address();
	}

	@Override
	public void close() {
		this.endpoint.close();
	}

	private CompletionStage<HttpResponse> load(String model) {
		if (!this.loads.tryTake()) {
			return CompletableFuture.completedFuture(Json.error(429, "over the load rate"));
		}
		CompletableFuture<HttpResponse> answer = new CompletableFuture<>();
		long millis = this.settings.loadMillis() * this.underWay.incrementAndGet();
		this.system.timer().schedule(() -> {
			this.underWay.decrementAndGet();
			answer.complete(Json.ok(Map.of("model", model)));
		}, millis, TimeUnit.MILLISECONDS);
		return answer;
	}

}
