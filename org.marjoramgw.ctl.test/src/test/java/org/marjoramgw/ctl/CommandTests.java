package org.marjoramgw.ctl;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.standin.log.LogControl;
import org.marjoramgw.standin.vmlist.VmListControl;
import org.marjoramgw.vmlist.Vm;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the results, errors and exit codes of the operators' commands.
 *
 * @author The marjoramgw authors
 */
public class CommandTests extends CommandFixture {

	private static final Path VALID_CONFIGURATION = Path.of(System.getProperty("repository.root", ".."), "conf",
			"rogac.toml");

	@Test
	public void checkReportsEveryProblemWithLineKeyAndRemedy() throws Exception {
		Path file = write("four.toml", """
				[limits]
				body_byte = 5
				grant_timeout = 20
				slot_count = "many"
				[classes.a]
				tier = 9
				completion_ms = 1000
				""");
		Assert.assertEquals(run("check", file.toString()), ExitCode.USAGE);
		Assert.assertEquals(this.out, "");
		assertContains(this.err,
				file + ":2: E5001 unknown key: limits.body_byte\n    remedy: remove it, or use one of [");
		assertContains(this.err,
				file + ":3: E5003 unit missing from the key: limits.grant_timeout\n    remedy: rename");
		assertContains(this.err, file + ":4: E5002 bad value: limits.slot_count\n    remedy: give a whole number from");
		assertContains(this.err, file + ":6: E5002 bad value: classes.a.tier\n    remedy: give a whole number from 1");
		Assert.assertEquals(run("check", "--json", file.toString()), ExitCode.USAGE);
		Assert.assertEquals(json().get("problems").findValuesAsText("line"), List.of("2", "3", "4", "6"), this.out);
		Assert.assertFalse(json().get("valid").asBoolean());
	}

	@Test
	public void checkAcceptsExampleConfiguration() {
		Assert.assertEquals(run("check", VALID_CONFIGURATION.toString()), ExitCode.OK, this.err);
		Assert.assertEquals(this.out, VALID_CONFIGURATION + ": no mistakes\n");
	}

	@Test
	public void publishConflictNamesOtherOperator() throws Exception {
		Assert.assertEquals(runWithSettings("publish", VALID_CONFIGURATION.toString(), "--base", "0"), ExitCode.OK,
				this.err);
		Assert.assertEquals(this.out, "published revision 1\n");
		int code = runWithSettings("publish", VALID_CONFIGURATION.toString(), "--base", "0", "--operator", "ben",
				"--json");
		Assert.assertEquals(code, ExitCode.FAILURE);
		assertContains(this.err, "E5009");
		assertContains(this.err, "ana published revision 1");
		Assert.assertEquals(json().get("verdict").asText(), "conflict");
		Assert.assertEquals(json().get("won_by").asText(), "ana");
	}

	@Test
	public void publishRejectsInvalidConfiguration() throws Exception {
		Path file = write("bad.toml", "nonsense = 1\n");
		Assert.assertEquals(runWithSettings("publish", file.toString(), "--base", "0"), ExitCode.USAGE);
		Assert.assertEquals(runWithSettings("show"), ExitCode.FAILURE);
		assertContains(this.err, "nothing is published yet");
	}

	@Test
	public void showHistoryAndDiffReturnPublishedRevisions() throws Exception {
		String first = Files.readString(VALID_CONFIGURATION);
		Path second = write("second.toml", first.replace("retry_percent = 10", "retry_percent = 20"));
		runWithSettings("publish", VALID_CONFIGURATION.toString(), "--base", "0");
		runWithSettings("publish", second.toString(), "--base", "1", "--operator", "ben");
		Assert.assertEquals(runWithSettings("show"), ExitCode.OK, this.err);
		assertContains(this.err, "revision 2, published by ben at ");
		Assert.assertEquals(this.out.stripTrailing(), Files.readString(second).stripTrailing());
		Assert.assertEquals(runWithSettings("show", "--revision", "1"), ExitCode.OK, this.err);
		Assert.assertEquals(this.out.stripTrailing(), first.stripTrailing());
		Assert.assertEquals(runWithSettings("show", "--revision", "7"), ExitCode.FAILURE);
		Assert.assertEquals(runWithSettings("history", "--json"), ExitCode.OK, this.err);
		Assert.assertEquals(json().get("revisions").findValuesAsText("operator"), List.of("ana", "ben"));
		Assert.assertEquals(runWithSettings("diff", "1", "2"), ExitCode.OK, this.err);
		Assert.assertEquals(this.out, "-retry_percent = 10\n+retry_percent = 20\n");
		Assert.assertEquals(runWithSettings("diff", "2", second.toString()), ExitCode.OK, this.err);
		Assert.assertEquals(this.out, "no difference\n");
	}

	@DataProvider
	public Object[][] platformCommands() {
		return new Object[][] { { "show" }, { "history" }, { "status" }, { "drain side-1" }, { "explain r1" },
				{ "diff 1 2" }, { "publish " + VALID_CONFIGURATION + " --base 0" } };
	}

	@Test(dataProvider = "platformCommands")
	public void failsWithResultCodeWhilePlatformIsDown(String command) {
		this.log.control(new LogControl(true, null, null, null));
		this.vmList.control(new VmListControl(true, null));
		Assert.assertEquals(runWithSettings(command.split(" ")), ExitCode.FAILURE, this.out);
		Assert.assertEquals(this.out, "");
		Assert.assertTrue(this.err.contains("E6006") || this.err.contains("E6008"), this.err);
	}

	@Test(dataProvider = "platformCommands")
	public void reportsMissingSetting(String command) {
		Assert.assertEquals(run(command.split(" ")), ExitCode.USAGE);
		assertContains(this.err, "in the file given by --config, is required");
	}

	@Test
	public void statusWarnsOfOutdatedAndUnreachableProcesses() throws Exception {
		runWithSettings("publish", VALID_CONFIGURATION.toString(), "--base", "0");
		FakeProcess current = new FakeProcess(this.system.actors(), "side-1", "dal-a", 1);
		FakeProcess behind = new FakeProcess(this.system.actors(), "side-2", "dal-b", 0);
		this.vmList.putVm(current.vm());
		this.vmList.putVm(behind.vm());
		this.vmList.putVm(new Vm("side-3", Vm.SIDE, "dal-c", "model-runners", "127.0.0.1:1", "127.0.0.1:1", Vm.LIVE));
		behind.drain();
		Assert.assertEquals(runWithSettings("status"), ExitCode.OK, this.err);
		assertContains(this.err, "side-2 lags: revision 0 in force, newest is 1");
		assertContains(this.err, "side-3 in dal-c can't be reached");
		Assert.assertFalse(this.err.contains("side-1"), this.err);
		Assert.assertEquals(runWithSettings("status", "--json"), ExitCode.OK, this.err);
		JsonNode processes = json().get("processes");
		Assert.assertEquals(processes.findValuesAsText("process_id"), List.of("side-1", "side-2", "side-3"));
		Assert.assertEquals(processes.findValuesAsText("reachable"), List.of("true", "true", "false"));
		Assert.assertEquals(processes.findValuesAsText("leaving"), List.of("false", "true", "false"));
		Assert.assertEquals(processes.findValuesAsText("incarnation"), List.of("4", "4", "0"));
		Assert.assertEquals(json().get("warnings").size(), 2);
	}

	@Test
	public void drainFindsProcessByVmListOrAddress() throws Exception {
		FakeProcess first = new FakeProcess(this.system.actors(), "side-1", "dal-a", 1);
		FakeProcess second = new FakeProcess(this.system.actors(), "side-2", "dal-a", 1);
		this.vmList.putVm(first.vm());
		Assert.assertEquals(runWithSettings("drain", "side-1"), ExitCode.OK, this.err);
		Assert.assertTrue(first.status().leaving());
		Assert.assertEquals(runWithSettings("drain", "side-2"), ExitCode.FAILURE);
		assertContains(this.err, "side-2 is not on the VM list");
		String address = second.vm().operatorAddress();
		Assert.assertEquals(runWithSettings("drain", "side-2", "--address", address, "--operator-token", "wrong"),
				ExitCode.FAILURE);
		assertContains(this.err, "E6001");
		Assert.assertFalse(second.status().leaving());
		Assert.assertEquals(runWithSettings("drain", "side-2", "--address", address), ExitCode.OK, this.err);
		Assert.assertTrue(second.status().leaving());
	}

	@DataProvider
	public Object[][] usage() {
		return new Object[][] { { "", ExitCode.USAGE }, { "--help", ExitCode.OK }, { "--version", ExitCode.OK },
				{ "nonsense", ExitCode.USAGE }, { "status --nonsense", ExitCode.USAGE },
				{ "status --help", ExitCode.OK }, { "check", ExitCode.USAGE },
				{ "check /nonexistent.toml", ExitCode.USAGE }, { "publish " + VALID_CONFIGURATION, ExitCode.USAGE },
				{ "diff 1", ExitCode.USAGE }, { "diff a b", ExitCode.USAGE },
				{ "status --config /nonexistent.toml", ExitCode.USAGE } };
	}

	@Test(dataProvider = "usage")
	public void distinguishesUsageErrorsFromHelp(String command, int code) {
		Assert.assertEquals(run(command.isEmpty() ? new String[0] : command.split(" ")), code, this.err);
		Assert.assertEquals(this.out.isEmpty(), code != ExitCode.OK);
		Assert.assertEquals(this.err.isEmpty(), code == ExitCode.OK);
	}

}
