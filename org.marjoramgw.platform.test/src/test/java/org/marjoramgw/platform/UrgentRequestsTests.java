package org.marjoramgw.platform;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

import org.marjoramgw.MillisClock;
import org.marjoramgw.SystemMillisClock;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that urgent requests wait in the process neither behind less urgent ones nor
 * beyond their use.
 *
 * @author The marjoramgw authors
 */
public class UrgentRequestsTests {

	private static final String KEY = "Authorization: Token key-1\r\n";

	private static final String PROMPT = KEY + "X-Prompt-Prefix: 5c:800,91:410\r\n";

	/** Prompts of one kind that a server may have in prefill at first. */
	private static final int PREFILL_LIMIT = 2;

	/** Well under 0.3 of the target of the prompts, for which they may be held back. */
	private static final long SEND_MILLIS = 1_000;

	private static final int WAITING_COUNT = 30;

	/** Requests that may be sent before the newest, since they were starting already. */
	private static final int MAX_SENT_BEFORE_COUNT = 8;

	/** Target of the reply route less than the two seconds for which its callers wait. */
	private static final long LAST_SEND_MILLIS = 1_750;

	/** Time after which the acceptor has read what was sent. */
	private static final long READ_MILLIS = 50;

	private static final long ANSWER_MILLIS = 500;

	private final MillisClock clock = new SystemMillisClock();

	@Test
	public void urgentPromptIsNotHeldBackWhileLessUrgentOnesAreInPrefill() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try (ScriptedServer server = new ScriptedServer((request, connection) -> false);
				ForwardingFixture fixture = new ForwardingFixture(server)) {
			callers.add(fixture.open("POST /prompt/less-urgent", PROMPT, "prompt"));
			Assert.assertEquals(server.awaitRequests(1, SEND_MILLIS), 1);
			for (int number = 0; number <= PREFILL_LIMIT; number++) {
				callers.add(fixture.open("POST /urgent-prompt/" + number, PROMPT, "prompt"));
			}
			Assert.assertEquals(server.awaitRequests(PREFILL_LIMIT + 2, SEND_MILLIS), PREFILL_LIMIT + 2);
		}
		finally {
			ForwardingFixture.closeAll(callers);
		}
	}

	@Test
	public void newestRequestOfABacklogIsSentFirst() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture((early) -> {
					for (int number = 0; number < WAITING_COUNT; number++) {
						callers.add(early.open("POST /long-book/" + number, KEY, "order"));
						Thread.sleep(2);
					}
					early.awaitRead();
				}, server)) {
			Assert.assertNotNull(fixture.listener());
			Assert.assertEquals(server.awaitRequests(WAITING_COUNT, SEND_MILLIS), WAITING_COUNT);
			List<String> paths = server.requests().stream().map((request) -> request.split(" ")[1]).toList();
			int position = paths.indexOf("/long-book/" + (WAITING_COUNT - 1));
			Assert.assertTrue(position <= MAX_SENT_BEFORE_COUNT, paths.toString());
		}
		finally {
			ForwardingFixture.closeAll(callers);
		}
	}

	@Test
	public void requestWhoseCallerIsAboutToLeaveIsRefusedAtOnce() throws Exception {
		List<Socket> callers = new ArrayList<>();
		try (ScriptedServer server = new ScriptedServer(ScriptedServer::respondGood);
				ForwardingFixture fixture = new ForwardingFixture((early) -> {
					callers.add(early.open("POST /reply/late", PROMPT, "prompt"));
					Thread.sleep(LAST_SEND_MILLIS + READ_MILLIS);
				}, server)) {
			Assert.assertNotNull(fixture.listener());
			long servedMillis = this.clock.nowMillis();
			Assert.assertEquals(ForwardingFixture.readStatus(callers.get(0)), "HTTP/1.1 503");
			Assert.assertTrue(this.clock.nowMillis() - servedMillis <= ANSWER_MILLIS);
			Assert.assertEquals(server.requests(), List.of());
		}
		finally {
			ForwardingFixture.closeAll(callers);
		}
	}

}
