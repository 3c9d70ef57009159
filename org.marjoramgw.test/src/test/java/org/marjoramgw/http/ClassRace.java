package org.marjoramgw.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CyclicBarrier;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.http.javadsl.settings.ServerSettings;

/**
 * Program in which two threads begin with a class and its subclass at the same time, as
 * classes are initialized once in a process.
 *
 * @author The marjoramgw authors
 */
public final class ClassRace {

	/** Exit code if the threads wait for each other. */
	static final int DEADLOCK = 3;

	private static final long LIMIT_MILLIS = 10_000;

	private ClassRace() {
	}

	/**
	 * Creates one side of HTTP and then starts the threads.
	 * @param arguments {@code server} or {@code client}, and the names of the classes
	 * @throws InterruptedException if the program is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "race");
		if (arguments[0].equals("server")) {
			PlaintextLayers.serverLayer(system, ServerSettings.create(ConfigFactory.load()));
		}
		else {
			new HttpConnector(system, ClientConnectionSettings.create(ConfigFactory.load()), (address, place, id) -> {
			});
		}
		Runtime.getRuntime().halt(race(List.of(arguments).subList(1, arguments.length)));
	}

	private static int race(List<String> names) throws InterruptedException {
		CyclicBarrier start = new CyclicBarrier(names.size());
		List<Thread> threads = new ArrayList<>();
		for (String name : names) {
			threads.add(new Thread(() -> initialize(name, start)));
		}
		threads.forEach(Thread::start);
		for (Thread thread : threads) {
			thread.join(LIMIT_MILLIS);
		}
		return threads.stream().anyMatch(Thread::isAlive) ? DEADLOCK : 0;
	}

	private static void initialize(String name, CyclicBarrier start) {
		try {
			Class<?> type = Class.forName(name, false, ClassRace.class.getClassLoader());
			start.await();
			Class.forName(type.getName(), true, type.getClassLoader());
		}
		catch (Exception ex) {
			ex.printStackTrace();
			Runtime.getRuntime().halt(1);
		}
	}

}
