package org.marjoramgw.direct.caller;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.typesafe.config.ConfigFactory;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.marjoramgw.SystemMillisClock;
import org.marjoramgw.direct.model.CallerLimits;
import org.marjoramgw.direct.socket.AcceptorFixture;
import org.marjoramgw.policy.waiting.StartLimiter;
import org.marjoramgw.policy.waiting.StartTimeouts;
import org.marjoramgw.policy.waiting.Urgency;
import org.marjoramgw.program.Pause;
import org.marjoramgw.time.ClockReading;
import org.marjoramgw.time.PekkoTimers;
import org.marjoramgw.time.Timers;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the order in which {@link CallerListener} opens connections that wait.
 *
 * @author The marjoramgw authors
 */
public class CallerListenerTests {

	private static final int WAITING_COUNT = 30;

	private static final int MAX_STARTING_COUNT = 4;

	/**
	 * Connections that may be opened before the most urgent one, since they were being
	 * opened already.
	 */
	private static final int MAX_OPENED_BEFORE_COUNT = 8;

	/**
	 * Connections that would each hold back the others for up to 100 ms, four at a time.
	 */
	private static final int INCOMPLETE_COUNT = 60;

	/** Time before the end of a stop at which all waiting requests are read. */
	private static final long READ_MILLIS = 1_000;

	/** Long enough that ten checks a second would be noticed. */
	private static final long IDLE_MILLIS = 2_500;

	private static final String URGENT = "/urgent";

	private static final String UNEXAMINABLE = "/unexaminable";

	private static final String ORDINARY = "/ordinary";

	private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();

	private AcceptorFixture fixture;

	private long examineMillis;

	private long sentBytes;

	private CallerLimits limits;

	@BeforeMethod
	public void start() throws Exception {
		this.handled.clear();
		this.examineMillis = 0;
		this.sentBytes = 0;
		this.limits = CallerLimits.DEFAULT;
		this.fixture = new AcceptorFixture();
	}

	@AfterMethod
	public void stop() {
		this.fixture.close();
	}

	/**
	 * Callers wait for a starting process, and the most urgent request arrived last.
	 */
	@Test
	public void opensMostUrgentRequestFirst() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try {
			for (int number = 0; number < WAITING_COUNT; number++) {
				callers.add(send(ORDINARY));
			}
			callers.add(send(URGENT));
			this.fixture.awaitRead(callers.size(), this.sentBytes);
			serve();
			List<String> order = new ArrayList<>();
			while (order.size() < callers.size()) {
				String path = this.handled.poll(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS);
				Assert.assertNotNull(path, "only " + order.size() + " requests were served");
				order.add(path);
			}
			Assert.assertTrue(order.indexOf(URGENT) <= MAX_OPENED_BEFORE_COUNT, order.toString());
		}
		finally {
			closeAll(callers);
		}
	}

	@Test
	public void mostUrgentRequestIsOpenedFirstThoughTheOthersAreExaminedSlowly() throws Exception {
		this.examineMillis = 20;
		opensMostUrgentRequestFirst();
	}

	/** Guards against requests that wait unread until a stopping process closes them. */
	@Test
	public void requestsBehindOthersThatAreIncompleteAreRead() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try {
			for (int number = 0; number < INCOMPLETE_COUNT; number++) {
				callers.add(sendText("GET " + URGENT + " HTTP/1.1\r\nHost: one.example\r\n"));
			}
			callers.add(send(ORDINARY));
			this.fixture.awaitRead(callers.size(), this.sentBytes);
			CallerListener listener = serve();
			listener.readAllWaiting();
			Assert.assertEquals(this.handled.poll(READ_MILLIS, TimeUnit.MILLISECONDS), ORDINARY);
			Assert.assertEquals(listener.waitingCount(), 0);
		}
		finally {
			closeAll(callers);
		}
	}

	/** Guards against a listener that opens no connection any more. */
	@Test
	public void connectionsThatEndWithoutRequestHoldBackNoOthers() throws Exception {
		CallerListener listener = serve();
		List<Socket> silent = new ArrayList<>();
		for (int number = 0; number < WAITING_COUNT; number++) {
			silent.add(this.fixture.connect());
		}
		awaitOpen(listener, silent.size());
		closeAll(silent);
		awaitOpen(listener, 0);
		try (Socket caller = send(ORDINARY)) {
			Assert.assertTrue(caller.isConnected());
			Assert.assertEquals(this.handled.poll(READ_MILLIS, TimeUnit.MILLISECONDS), ORDINARY);
			Assert.assertEquals(listener.waitingCount(), 0);
		}
	}

	/** Guards against a request that loses its place because it can't be examined. */
	@Test
	public void requestsThatCannotBeExaminedAreServed() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try {
			for (int number = 0; number < WAITING_COUNT; number++) {
				callers.add(send(UNEXAMINABLE));
			}
			this.fixture.awaitRead(callers.size(), this.sentBytes);
			serve();
			for (int number = 0; number < WAITING_COUNT; number++) {
				Assert.assertEquals(this.handled.poll(READ_MILLIS, TimeUnit.MILLISECONDS), UNEXAMINABLE);
			}
		}
		finally {
			closeAll(callers);
		}
	}

	/**
	 * Guards against connections that are checked ten times a second while nothing waits,
	 * and against ones that are not checked at all.
	 */
	@Test
	public void idleConnectionIsCheckedTwiceASecondUntilItIsClosed() throws Exception {
		this.limits = new CallerLimits(16_384, 4_194_304, 3_000, IDLE_MILLIS);
		AtomicInteger scheduledCount = new AtomicInteger();
		Timers timers = new PekkoTimers(this.fixture.system());
		serve((delayMillis, task) -> {
			scheduledCount.incrementAndGet();
			return timers.schedule(delayMillis, task);
		});
		try (Socket caller = send(ORDINARY)) {
			Assert.assertEquals(this.handled.poll(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS), ORDINARY);
			int before = scheduledCount.get();
			caller.getInputStream().readAllBytes();
			int count = scheduledCount.get() - before;
			Assert.assertTrue(count >= 3, count + " checks and timeouts");
			Assert.assertTrue(count <= 10, count + " checks and timeouts");
		}
	}

	private static void awaitOpen(CallerListener listener, int count) {
		long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(AcceptorFixture.WAIT_SECONDS);
		while (listener.openCount() != count) {
			Assert.assertTrue(System.nanoTime() < endNanos, listener.openCount() + " connections are open");
			Pause.millis(5);
		}
	}

	private static void closeAll(List<Socket> callers) throws Exception {
		for (Socket caller : callers) {
			caller.close();
		}
	}

	private CallerListener serve() throws Exception {
		return serve(new PekkoTimers(this.fixture.system()));
	}

	private CallerListener serve(Timers timers) throws Exception {
		CallerListener listener = new CallerListener(this.fixture.system(), ServerSettings.create(ConfigFactory.load()),
				timers, new StartLimiter(MAX_STARTING_COUNT, this.fixture.system().executionContext()),
				new StartTimeouts(new SystemMillisClock(), timers), () -> this.limits, this::examine, this::respond);
		listener.serve(this.fixture.acceptor())
			.toCompletableFuture()
			.get(AcceptorFixture.WAIT_SECONDS, TimeUnit.SECONDS);
		return listener;
	}

	private UnreadRequest examine(HeadPreview preview, ClockReading arrived) {
		Pause.millis(this.examineMillis);
		if (preview.target().equals(UNEXAMINABLE)) {
			throw new IllegalStateException("failure of the test");
		}
		return new FakeUnreadRequest(
				Urgency.unread(preview.target().equals(URGENT) ? 0 : 1, arrived.monotonicMillis()));
	}

	private CompletionStage<HttpResponse> respond(HttpRequest request, CallerConnection connection) {
		this.handled.add(request.getUri().path());
		connection.markOpened();
		return CompletableFuture.completedFuture(HttpResponse.create());
	}

	private Socket send(String path) throws Exception {
		return sendText("GET " + path + " HTTP/1.1\r\nHost: one.example\r\n\r\n");
	}

	private Socket sendText(String head) throws Exception {
		Socket caller = this.fixture.connect();
		caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
		this.sentBytes += head.length();
		return caller;
	}

	private record FakeUnreadRequest(Urgency urgency) implements UnreadRequest {

		@Override
		public long maxWaitMillis() {
			return TimeUnit.SECONDS.toMillis(AcceptorFixture.WAIT_SECONDS);
		}

		@Override
		public HttpResponse refuse() {
			return HttpResponse.create().withStatus(StatusCodes.SERVICE_UNAVAILABLE);
		}

	}

}
