package org.marjoramgw.ctl;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.marjoramgw.ctl.internal.ExplainReport;
import org.marjoramgw.ctl.internal.LogSearch;
import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Tests {@link LogSearch}.
 *
 * @author The marjoramgw authors
 */
public class LogSearchTests {

	private static final String NOTICE = " at 10.0.0.1:1 said in an answer that it leaves";

	@Test
	public void refusalLeadsToTheServersThatHadSaidThatTheyLeave() throws Exception {
		Path log = Files.createTempFile("edge", ".log");
		try {
			Files.write(log,
					List.of(line("09:00:00", "backend server i-7 of s" + NOTICE),
							line("09:00:00", "backend server i-8 of other" + NOTICE),
							line("09:00:00", "backend server i-6 of s at 10.0.0.1:1 is usable"),
							line("10:00:00", "request=r1 code=2008 status=503 service=s registered=1 said_leaving=1"),
							line("10:00:01", "backend server i-9 of s" + NOTICE)));
			List<String> messages = new LogSearch(List.of(log)).explain("r1")
				.steps()
				.stream()
				.map(ExplainReport.Step::detail)
				.toList();
			Assert.assertEquals(messages.size(), 2, messages.toString());
			Assert.assertTrue(messages.get(0).startsWith("backend server i-7 of s"), messages.toString());
		}
		finally {
			Files.delete(log);
		}
	}

	private static String line(String time, String message) {
		return "{\"time\":\"2026-12-04T" + time + "Z\",\"message\":\"" + message + "\"}";
	}

}
