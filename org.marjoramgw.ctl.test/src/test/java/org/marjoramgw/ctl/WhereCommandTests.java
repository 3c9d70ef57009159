package org.marjoramgw.ctl;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.operator.OperatorJson;
import org.marjoramgw.operator.WhereReport;
import org.marjoramgw.program.ExitCode;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the where command describes the request to an entry process and prints its
 * report.
 *
 * @author The marjoramgw authors
 */
public class WhereCommandTests extends CommandFixture {

	private static final String KEY = "secret-key-7";

	private final AtomicReference<HttpRequest> asked = new AtomicReference<>();

	private HttpResponse answer;

	private ServerBinding entry;

	@BeforeMethod
	public void startEntry() throws Exception {
		this.entry = Http.get(this.system.actors()).newServerAt("127.0.0.1", 0).bindSync((request) -> {
			this.asked.set(request);
			return this.answer;
		}).toCompletableFuture().get(5, TimeUnit.SECONDS);
	}

	@AfterMethod(alwaysRun = true)
	public void stopEntry() {
		this.entry.unbind();
	}

	/** Guards against options that don't reach the process, or lose their encoding. */
	@Test
	public void sendsTheDescriptionOfTheRequest() throws Exception {
		answer(report());
		Assert.assertEquals(
				where("--host", "a.example", "--path", "/x/é y", "--key", KEY, "--model", "m", "--part", "sys:300",
						"--part", "own:20", "--prompt-tokens", "320", "--deadline-ms", "700", "--service", "s"),
				ExitCode.OK, this.err);
		Assert.assertEquals(this.asked.get().getUri().path(), "/explain");
		Assert.assertEquals(this.asked.get().getUri().query().toList().stream().map(Object::toString).toList(),
				List.of("Pair(host,a.example)", "Pair(path,/x/é y)", "Pair(key," + KEY + ")", "Pair(service,s)",
						"Pair(model,m)", "Pair(part,sys:300)", "Pair(part,own:20)", "Pair(prompt_tokens,320)",
						"Pair(deadline_ms,700)"));
	}

	/** Guards against a table that hides the choice, an obstacle or a wait. */
	@Test
	public void printsReportAsTable() throws Exception {
		answer(report());
		Assert.assertEquals(where("--host", "a", "--path", "/x", "--account", "coop"), ExitCode.OK, this.err);
		assertContains(this.out, "process: edge-1, configuration version 7, confirmed 12 ms ago");
		assertContains(this.out, "route: r, account coop, rank 2, service s of {s=1.0}");
		assertContains(this.out, "server: i-1 by least own load");
		assertContains(this.out, "turn in this process: at once");
		assertContains(this.out, "permit of the server: waits behind 3 requests, for at most 90 ms");
		assertContains(this.out, "i-1     a               chosen  -                       no");
		assertContains(this.out, "i-2     b               -       it said that it leaves  yes");
		assertContains(this.out, "2 of 70 servers are listed");
		Assert.assertEquals(where("--host", "a", "--path", "/x", "--json"), ExitCode.OK, this.err);
		Assert.assertEquals(json().get("servers").findValuesAsText("id"), List.of("i-1", "i-2"));
	}

	/** Guards against a refusal that is taken for a failure of the command. */
	@Test
	public void printsRefusal() throws Exception {
		answer(new WhereReport("edge-1", 0, -1, new WhereReport.Refusal(2007, "no configuration", 503, ""), null, null,
				null, null, 0, List.of()));
		Assert.assertEquals(where("--host", "a", "--path", "/x"), ExitCode.OK, this.err);
		assertContains(this.out, "configuration version 0, never confirmed");
		assertContains(this.out, "refused: E2007 no configuration, status 503");
	}

	/** Guards against a key in the messages of an error. */
	@Test
	public void reportsProcessThatGivesNoReport() throws Exception {
		this.answer = HttpResponse.create().withStatus(503).withEntity("another explanation is being computed\n");
		Assert.assertEquals(where("--host", "a", "--path", "/x", "--key", KEY), ExitCode.FAILURE);
		assertContains(this.err, "answered with status 503: another explanation is being computed");
		this.answer = HttpResponse.create().withStatus(400).withEntity("route r has no service s\n");
		Assert.assertEquals(where("--host", "a", "--path", "/x", "--key", KEY), ExitCode.FAILURE);
		assertContains(this.err, "E5002");
		assertContains(this.err, "answered with status 400: route r has no service s");
		this.answer = HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, "no report");
		Assert.assertEquals(where("--host", "a", "--path", "/x", "--key", KEY), ExitCode.FAILURE);
		assertContains(this.err, "E6014");
		Assert.assertEquals(run("where", "--address", "127.0.0.1:1", "--host", "a", "--path", "/x", "--key", KEY),
				ExitCode.FAILURE);
		assertContains(this.err, "E6014");
		Assert.assertFalse((this.out + this.err).contains(KEY), this.out + this.err);
	}

	@Test
	public void rejectsWrongUsage() {
		Assert.assertEquals(run("where", "--host", "a", "--path", "/x"), ExitCode.USAGE);
		Assert.assertEquals(run("where", "--address", "entry:80", "--host", "a", "--path", "/x"), ExitCode.USAGE);
		assertContains(this.err, "--address: not an IP address and a port");
		Assert.assertEquals(where("--host", "a", "--path", "/x", "--deadline-ms", "soon"), ExitCode.USAGE);
	}

	private int where(String... options) {
		String[] all = new String[options.length + 3];
		all[0] = "where";
		all[1] = "--address";
		all[2] = "127.0.0.1:" + this.entry.localAddress().getPort();
		System.arraycopy(options, 0, all, 3, options.length);
		return run(all);
	}

	private void answer(WhereReport report) throws Exception {
		this.answer = HttpResponse.create()
			.withEntity(ContentTypes.APPLICATION_JSON, OperatorJson.newMapper().writeValueAsString(report));
	}

	private static WhereReport report() {
		return new WhereReport("edge-1", 7, 12, null, new WhereReport.Match("r", "coop", 2, "s", Map.of("s", 1.0)),
				new WhereReport.Choice("i-1", "least own load"), new WhereReport.Wait(false, 0, 500),
				new WhereReport.Wait(true, 3, 90), 70,
				List.of(new WhereReport.Server("i-1", "a", true, true, "", false, 1.5, 2, 4, Map.of("ramp_share", 0.5)),
						new WhereReport.Server("i-2", "b", false, false, "it said that it leaves", true, 0, 0, 0,
								Map.of())));
	}

}
