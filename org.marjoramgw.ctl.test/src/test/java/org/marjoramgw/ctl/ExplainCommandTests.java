package org.marjoramgw.ctl;

import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.marjoramgw.ResultCode;
import org.marjoramgw.program.ExitCode;
import org.marjoramgw.vmlist.Vm;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests that the explain command finds what was decided on a request.
 *
 * @author The marjoramgw authors
 */
public class ExplainCommandTests extends CommandFixture {

	@Test
	public void explainSortsDecisionsOfAllProcessesByTime() throws Exception {
		FakeProcess first = new FakeProcess(this.system.actors(), "side-1", "dal-a", 1);
		FakeProcess second = new FakeProcess(this.system.actors(), "side-2", "dal-b", 1);
		this.vmList.putVm(first.vm());
		this.vmList.putVm(second.vm());
		second.decisions().add("r1", "reserve", null, "queued");
		first.clock().advanceMillis(5);
		first.decisions().add("r1", "refuse", ResultCode.QUEUE_FULL, "class reply-draft");
		first.decisions().add("r2", "grant", null, "");
		Assert.assertEquals(runWithSettings("explain", "r1", "--json"), ExitCode.OK, this.err);
		JsonNode steps = json().get("steps");
		Assert.assertEquals(steps.findValuesAsText("process_id"), List.of("side-2", "side-1"));
		Assert.assertEquals(steps.findValuesAsText("code"), List.of("0", "3001"));
		Assert.assertEquals(runWithSettings("explain", "r1"), ExitCode.OK, this.err);
		assertContains(this.out, "E3001  queue of the class is full  class reply-draft");
		this.vmList.putVm(new Vm("side-3", Vm.SIDE, "dal-c", "model-runners", "127.0.0.1:1", "127.0.0.1:1", Vm.LIVE));
		Assert.assertEquals(runWithSettings("explain", "r9"), ExitCode.FAILURE);
		assertContains(this.err, "side-3 can't be reached");
		assertContains(this.err, "no process remembers request r9");
	}

	@Test
	public void explainReadsRequestFromLogs() throws Exception {
		Path first = write("edge-1.log",
				"""
						{"time":"2026-12-04T10:00:00.000Z","level":"WARN","message":"configuration: lost contact with the store: reset"}
						{"time":"2026-12-04T10:00:01.000Z","level":"INFO","message":"backend server i-9 is gone"}
						{"time":"2026-12-04T10:00:01.500Z","level":"INFO","message":"backend server i-7 is gone"}
						{"time":"2026-12-04T10:00:02.000Z","level":"INFO","message":"request=r2 code=1000 route=a status=200"}
						no line of ours
						12.5 edge-1 {"time":"2026-12-04T10:00:02.500Z","level":"INFO","message":"request=r1 code=3014 route=a status=502 server=i-7 no answer"}
						""");
		Path second = write("edge-2.log",
				"{\"time\":\"2026-12-04T09:59:58Z\",\"message\":\"request=r1 code=4001 server=i-8 status=503\"}\n");
		Assert.assertEquals(run("explain", "r1", "--json", "--logs", first + "," + second), ExitCode.OK, this.err);
		JsonNode steps = json().get("steps");
		Assert.assertEquals(steps.findValuesAsText("process_id"),
				List.of("edge-2.log", "edge-1.log", "edge-1.log", "edge-1.log"));
		Assert.assertEquals(steps.findValuesAsText("step"), List.of("request", "state", "state", "request"));
		Assert.assertEquals(steps.findValuesAsText("code"), List.of("4001", "0", "0", "3014"));
		Assert.assertEquals(run("explain", "r1", "--logs", first.toString()), ExitCode.OK, this.err);
		assertContains(this.out, "E3014  backend server broke off");
		Assert.assertFalse(this.out.contains("i-9"), this.out);
		Assert.assertEquals(run("explain", "r3", "--logs", first.toString()), ExitCode.FAILURE);
		assertContains(this.err, "no log line for request r3");
		Assert.assertEquals(run("explain", "r1", "--logs", "/nonexistent.log"), ExitCode.USAGE);
		assertContains(this.err, "log /nonexistent.log can't be read");
	}

	@Test
	public void explainLeadsFromARefusedPromptToTheCrashes() throws Exception {
		Path first = write("edge-1.log",
				"""
						{"time":"2026-12-04T10:00:00.000Z","message":"quarantine: backend server i-7@5 crashed, unanswered=1 prompts=p1![m/bad]"}
						{"time":"2026-12-04T10:00:01.000Z","message":"quarantine: backend server i-9@5 crashed, unanswered=1 prompts=p2[m/x]"}
						{"time":"2026-12-04T10:05:00.000Z","message":"request=r1 code=2022 route=a status=400 model=m part=bad servers=i-7@5,i-8@6"}
						""");
		Path second = write("edge-2.log",
				"""
						{"time":"2026-12-04T10:00:02.000Z","message":"quarantine: backend server i-8@6 crashed, unanswered=1 prompts=p3![m/bad]"}
						{"time":"2026-12-04T10:00:03.000Z","message":"quarantine: verdict on model=m part=bad term=1 author=edge-2 servers=i-7@5,i-8@6"}
						{"time":"2026-12-04T10:00:04.000Z","message":"quarantine: verdict on model=m part=other term=1 author=edge-2 servers=i-7@5"}
						""");
		Assert.assertEquals(run("explain", "r1", "--json", "--logs", first + "," + second), ExitCode.OK, this.err);
		JsonNode steps = json().get("steps");
		Assert.assertEquals(steps.findValuesAsText("process_id"),
				List.of("edge-1.log", "edge-2.log", "edge-2.log", "edge-1.log"));
		Assert.assertEquals(steps.findValuesAsText("code"), List.of("0", "0", "0", "2022"));
	}

}
