package org.marjoramgw.log;

import java.io.IOException;
import java.util.List;

import org.marjoramgw.errors.CodedException;
import org.marjoramgw.errors.LogAnswerLostException;
import org.marjoramgw.errors.LogUnavailableException;
import org.marjoramgw.http.FixedResponseServer;
import org.marjoramgw.http.HttpFixture;
import org.marjoramgw.standin.log.LogControl;
import org.marjoramgw.standin.log.LogSettings;
import org.marjoramgw.standin.log.LogStandin;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link HttpLogService} against the stand-in of the log service.
 *
 * @author The marjoramgw authors
 */
public class HttpLogServiceTests {

	private static final long HOUR_MILLIS = 3_600_000;

	private HttpFixture http;

	private LogStandin standin;

	private HttpLogService log;

	@BeforeClass
	public void startFixture() {
		this.http = new HttpFixture();
	}

	@AfterClass
	public void stopFixture() {
		this.http.close();
	}

	@BeforeMethod
	public void startStandin() {
		this.standin = LogStandin.start(this.http.standins(),
				new LogSettings(HttpFixture.ANY_PORT, 10, 5, 100, HOUR_MILLIS));
		this.log = client("http://" + this.standin.address());
	}

	@AfterMethod
	public void stopStandin() {
		this.standin.close();
	}

	private HttpLogService client(String url) {
		return new HttpLogService(this.http.newClient(), url);
	}

	@Test
	public void readsWhatItAppended() throws CodedException {
		Assert.assertEquals(this.log.append("s", List.of("a", "\u00e9\n\"")), 0);
		Assert.assertEquals(this.log.append("s", List.of("c")), 2);
		LogSlice slice = this.log.read("s", 1, 10);
		Assert.assertEquals(slice.nextOffset(), 3);
		Assert.assertEquals(slice.records().stream().map(LogRecord::data).toList(), List.of("\u00e9\n\"", "c"));
		Assert.assertEquals(this.log.read("s", 0, 1).records().size(), 1);
	}

	@Test
	public void readsAnEmptyStream() throws CodedException {
		Assert.assertEquals(this.log.read("none", 0, 10), new LogSlice(0, 0, List.of()));
	}

	@Test
	public void readsFromTheFirstRetainedRecord() throws CodedException {
		this.standin.control(new LogControl(null, null, null, 2L));
		this.log.append("s", List.of("a", "b", "c"));
		LogSlice slice = this.log.read("s", 0, 10);
		Assert.assertEquals(slice.firstOffset(), 1);
		Assert.assertEquals(slice.records().get(0).data(), "b");
	}

	@DataProvider
	public Object[][] appendFaults() {
		Class<?> unavailable = LogUnavailableException.class;
		Class<?> lost = LogAnswerLostException.class;
		return new Object[][] { { new LogControl(true, null, null, null), unavailable, 0 },
				{ new LogControl(null, 1, null, null), lost, 1 },
				{ new LogControl(null, null, HttpFixture.TIMEOUT_MILLIS * 3, null), lost, 1 } };
	}

	@Test(dataProvider = "appendFaults")
	public void reportsWhetherAnAppendMayHaveTakenEffect(LogControl fault, Class<? extends CodedException> expected,
			int records) throws CodedException {
		this.standin.control(fault);
		Assert.assertThrows(expected, () -> this.log.append("s", List.of("a")));
		this.standin.control(new LogControl(false, 0, 0L, null));
		Assert.assertEquals(this.log.read("s", 0, 10).records().size(), records);
	}

	@Test
	public void reportsThatNothingWasAppendedOverTheRateLimit() throws CodedException {
		Assert.assertThrows(LogUnavailableException.class, () -> {
			for (int count = 0; count < 1_000; count++) {
				this.log.append("s", List.of("a" + count));
			}
		});
		LogSlice slice = this.log.read("s", 0, 1_000);
		Assert.assertEquals(slice.records().get(slice.records().size() - 1).data(), "a" + (slice.nextOffset() - 1));
	}

	@DataProvider
	public Object[][] readFaults() {
		return new Object[][] { { new LogControl(true, null, null, null) },
				{ new LogControl(null, null, HttpFixture.TIMEOUT_MILLIS * 3, null) } };
	}

	@Test(dataProvider = "readFaults")
	public void reportsThatTheLogCannotBeRead(LogControl fault) {
		this.standin.control(fault);
		Assert.assertThrows(LogUnavailableException.class, () -> this.log.read("s", 0, 10));
	}

	@Test
	public void reportsThatNothingWasAppendedWithoutAConnection() {
		this.standin.close();
		Assert.assertThrows(LogUnavailableException.class, () -> this.log.append("s", List.of("a")));
		Assert.assertThrows(LogUnavailableException.class, () -> this.log.read("s", 0, 10));
	}

	@DataProvider
	public Object[][] unexpectedResponses() {
		Class<?> unavailable = LogUnavailableException.class;
		Class<?> lost = LogAnswerLostException.class;
		return new Object[][] { { 200, "", lost }, { 200, "[]", lost }, { 200, "{\"first_offset\":null}", lost },
				{ 200, "{\"first_offset\":\"x\"}", lost }, { 500, "", lost }, { 502, "", lost },
				{ 400, "", unavailable }, { 429, "", unavailable }, { 503, "", unavailable } };
	}

	@Test(dataProvider = "unexpectedResponses")
	public void classifiesUnexpectedResponses(int status, String body, Class<? extends CodedException> expected)
			throws IOException {
		try (FixedResponseServer server = new FixedResponseServer(status, body)) {
			HttpLogService service = client(server.url());
			Assert.assertThrows(expected, () -> service.append("s", List.of("a")));
			Assert.assertThrows(LogUnavailableException.class, () -> service.read("s", 0, 1));
		}
	}

}
