package org.marjoramgw.side.order;

import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.ConfigurationParser;
import org.marjoramgw.errors.HttpCallException;
import org.marjoramgw.errors.InvalidTomlException;
import org.marjoramgw.errors.OrderFencedException;
import org.marjoramgw.errors.WeightStoreBusyException;
import org.marjoramgw.http.BlockingHttpClient;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.side.weightstore.HttpWeightStore;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.standin.engine.EngineSettings;
import org.marjoramgw.standin.engine.EngineStandin;
import org.marjoramgw.standin.weightstore.WeightStoreSettings;
import org.marjoramgw.standin.weightstore.WeightStoreStandin;
import org.marjoramgw.testkit.TestSeed;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ModelReconciler} and {@link ModelLoader} against the stand-ins of an
 * engine and the weight store.
 *
 * @author The marjoramgw authors
 */
public class ModelReconcilerTests {

	private static final Set<String> WANTED = Set.of("m1", "m2");

	private static final String CONFIGURATION = """
			[classes.a]
			tier = 1
			completion_ms = 1000
			[services.s]
			pool = "p"
			models = ["m1", "m2"]
			[services.t]
			pool = "other"
			models = ["m3"]
			""";

	private ActorSystem<Void> system;

	private StandinSystem standins;

	private EngineStandin engine;

	private WeightStoreStandin weightStore;

	@BeforeClass
	public void startSystems() {
		this.system = ActorSystem.create(Behaviors.empty(), "order-test");
		this.standins = new StandinSystem();
	}

	@AfterClass
	public void stopSystems() {
		this.system.terminate();
		this.standins.close();
	}

	@AfterMethod
	public void stopStandins() {
		this.engine.close();
		this.weightStore.close();
	}

	private ModelLoader start(boolean checksFencing, int burstCount) throws InvalidTomlException {
		String settings = "models = [\"base\"]\nchecks_fencing = " + checksFencing + "\n";
		this.engine = EngineStandin.start(this.standins, EngineSettings.read(TomlTable.ofText("engine", settings)));
		this.weightStore = WeightStoreStandin.start(this.standins,
				new WeightStoreSettings(new HostPort("127.0.0.1", 0), 10, 1, burstCount));
		return new ModelLoader(orderClient(), new HttpWeightStore(new BlockingHttpClient(this.system, 5_000, ""),
				"http://" + this.weightStore.address()));
	}

	private HttpEngineOrderClient orderClient() {
		return new HttpEngineOrderClient(new BlockingHttpClient(this.system, 5_000, ""),
				"http://" + this.engine.address());
	}

	@Test
	public void loadsModelsOneAtATime() throws Exception {
		ModelLoader loader = start(true, 10);
		Assert.assertFalse(loader.loadNext(WANTED, 7));
		Assert.assertTrue(loader.loadNext(WANTED, 7));
		EngineState state = orderClient().state();
		Assert.assertTrue(state.models().containsAll(WANTED));
		Assert.assertEquals(state.fencing(), 7);
	}

	@DataProvider
	public Object[][] fencing() {
		return new Object[][] { { true }, { false } };
	}

	@Test(dataProvider = "fencing")
	public void earlierIncarnationSendsNoOrderOnceStateShowsNewerFencing(boolean checksFencing) throws Exception {
		ModelLoader loader = start(checksFencing, 10);
		loader.loadNext(Set.of("m1"), 8);
		Assert.assertThrows(OrderFencedException.class, () -> loader.loadNext(WANTED, 7));
		Assert.assertFalse(orderClient().state().models().contains("m2"));
	}

	@Test
	public void engineThatChecksFencingRefusesEarlierIncarnation() throws Exception {
		start(true, 10).loadNext(Set.of("m1"), 8);
		EngineOrder order = new EngineOrder(EngineOrder.LOAD_MODEL, "m2", 7);
		Assert.assertThrows(OrderFencedException.class, () -> orderClient().send(order));
	}

	@Test
	public void reportsRateLimitedWeightStore() throws Exception {
		ModelLoader loader = start(true, 1);
		loader.loadNext(WANTED, 7);
		Assert.assertThrows(WeightStoreBusyException.class, () -> loader.loadNext(WANTED, 7));
	}

	@Test
	public void reportsUnreachableEngine() throws Exception {
		ModelLoader loader = start(true, 1);
		this.engine.close();
		Assert.assertThrows(HttpCallException.class, () -> loader.loadNext(WANTED, 7));
	}

	@Test
	public void loadsModelsOfItsPoolOnceStartIsRegistered() throws Exception {
		ModelLoader loader = start(true, 10);
		CompletableFuture<Long> fencing = new CompletableFuture<>();
		try (ModelReconciler orders = newReconciler(loader, fencing, new ResultCounters(new MetricRegistry()))) {
			Assert.assertEquals(orderClient().state().models(), List.of("base"));
			fencing.complete(3L);
			while (!orderClient().state().models().containsAll(WANTED)) {
				Thread.sleep(10);
			}
			Assert.assertFalse(orderClient().state().models().contains("m3"));
		}
	}

	@Test
	public void countsFencedOrder() throws Exception {
		ModelLoader loader = start(false, 10);
		loader.loadNext(Set.of("m1"), 8);
		ResultCounters counters = new ResultCounters(new MetricRegistry());
		try (ModelReconciler orders = newReconciler(loader, CompletableFuture.completedFuture(3L), counters)) {
			Assert.assertNotNull(orders);
			while (counters.countOf(ResultCode.ORDER_FENCED) == 0) {
				Thread.sleep(10);
			}
		}
	}

	private static ModelReconciler newReconciler(ModelLoader loader, CompletableFuture<Long> fencing,
			ResultCounters counters) throws InvalidTomlException {
		Configuration configuration = new ConfigurationParser().parse("test", 1, CONFIGURATION);
		return new ModelReconciler(loader, new FixedConfigurationSource(configuration), "p", fencing,
				TestSeed.random(1), counters);
	}

}
