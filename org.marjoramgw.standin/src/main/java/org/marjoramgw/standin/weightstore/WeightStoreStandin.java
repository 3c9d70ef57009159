package org.marjoramgw.standin.weightstore;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.server.PathMatchers;
import org.apache.pekko.http.javadsl.server.Route;
import org.marjoramgw.standin.HttpStandin;
import org.marjoramgw.standin.Json;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.standin.TokenBucket;

/**
 * Weight store stand-in; a load takes longer the more loads run concurrently.
 *
 * @author The marjoramgw authors
 */
public final class WeightStoreStandin extends HttpStandin {

	private static final double SECONDS_PER_MINUTE = 60;

	private final WeightStoreSettings settings;

	private final TokenBucket loads;

	private final AtomicInteger activeLoads = new AtomicInteger();

	private WeightStoreStandin(StandinSystem system, WeightStoreSettings settings) {
		super(system, settings.httpAddress());
		this.settings = settings;
		this.loads = new TokenBucket(system.clock(), settings.loadsPerMinute() / SECONDS_PER_MINUTE,
				settings.burstCount());
	}

	/**
	 * Starts a stand-in.
	 * @param system the shared actor system and timer
	 * @param settings its settings
	 * @return the running stand-in
	 */
	public static WeightStoreStandin start(StandinSystem system, WeightStoreSettings settings) {
		return startListening(new WeightStoreStandin(system, settings));
	}

	@Override
	protected Route route() {
		return path(PathMatchers.segment("weights").slash(PathMatchers.segment()),
				(model) -> get(() -> completeWithFuture(load(model))));
	}

	private CompletionStage<HttpResponse> load(String model) {
		if (!this.loads.tryAcquire()) {
			return CompletableFuture.completedFuture(Json.error(429, "over the load rate"));
		}
		CompletableFuture<HttpResponse> promise = new CompletableFuture<>();
		long durationMillis = this.settings.loadMillis() * this.activeLoads.incrementAndGet();
		system().timer().schedule(() -> {
			this.activeLoads.decrementAndGet();
			promise.complete(Json.ok(Map.of("model", model)));
		}, durationMillis, TimeUnit.MILLISECONDS);
		return promise;
	}

}
