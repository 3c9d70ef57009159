package org.marjoramgw.policy.quarantine;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link CrashLedger}.
 *
 * @author The marjoramgw authors
 */
public class CrashLedgerTests {

	private static final long SPACING_MILLIS = CrashLedger.MIN_SPACING_MILLIS;

	private CrashLedger ledger;

	@BeforeMethod
	public void create() {
		this.ledger = new CrashLedger();
	}

	/**
	 * Each row: description, expected culprit or {@code null}, and crashes. A crash is
	 * {@code time:prompt=part+part,prompt=part}, the time in units of the least spacing;
	 * a prompt whose answer was about to begin ends with {@code !}.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] cases() {
		return new Object[][] {
				{ "three crashes have a part in common", "bad", "0:p1!=bad", "1:p2!=bad,p3=x", "2:p4!=bad,p5=y" },
				{ "two crashes are too few", null, "0:p1!=bad", "1:p2!=bad" },
				{ "servers that crash at once count once", null, "0:p1!=hot", "0:p2!=hot", "0:p3!=hot", "1:p4!=hot" },
				{ "one prompt that is sent again accuses no part", null, "0:p1!=s", "1:p1!=s", "2:p1!=s", "3:p1!=s" },
				{ "no answer was about to begin", null, "0:p1=s", "1:p2=s", "2:p3=s" },
				{ "no answer was about to begin, four times", "s", "0:p1=s", "1:p2=s", "2:p3=s", "3:p4=s" },
				{ "as often, and servers crash without it as well", null, "0:p1=s", "1:p2=s", "2:p3=s", "3:p4=s",
						"4:p5=s", "5:o1=a", "6:o2=b", "7:o3=c" },
				{ "other crashes weigh less if answers were about to begin", "s", "0:p1!=s", "1:p2!=s", "2:p3!=s",
						"3:p4!=s", "4:o1=a", "5:o2=b", "6:o3=c" },
				{ "most servers that crash at once don't have it", null, "0:p1=s", "0:a=a", "0:b=b", "1:p2=s", "1:c=c",
						"1:d=d", "2:p3=s", "3:p4=s", "4:p5=s" },
				{ "most servers that crash at once have it", "s", "0:p1=s", "0:p2=s", "0:a=a", "1:p3=s", "2:p4=s",
						"3:p5=s", "4:p6=s" },
				{ "the later part explains all crashes", "bad", "0:p1!=first+bad", "1:p2!=first+bad",
						"2:p3!=first+bad" },
				{ "a bystander with the first part changes nothing", null, "0:p1!=first+bad", "1:p2!=first",
						"2:p3!=first+bad" },
				{ "nor does it as the bad part is found", "bad", "0:p1!=first+bad", "1:p2!=first", "2:p3!=first+bad",
						"3:p4!=first+bad" },
				{ "the first part is bad", "first", "0:p1!=first+a", "1:p2!=first+b", "2:p3!=first+c" },
				{ "the part with more crashes comes first", "worse", "0:p1!=bad,p2!=worse", "1:p3!=bad,p4!=worse",
						"2:p5!=bad,p6!=worse", "3:p7!=worse" } };
	}

	@Test(dataProvider = "cases")
	public void culpritIsTheCommonPart(String description, String expected, String... crashes) {
		for (int index = 0; index < crashes.length; index++) {
			add(this.ledger, "server-" + index, crashes[index]);
		}
		Assert.assertEquals(culprit(this.ledger), Optional.ofNullable(expected), description);
	}

	@Test
	public void answerClearsAPartOfEarlierCrashesOnly() {
		add(this.ledger, "s1", "0:p1!=part");
		add(this.ledger, "s2", "1:p2!=part");
		this.ledger.clear(key("part"));
		add(this.ledger, "s3", "2:p3!=part");
		add(this.ledger, "s4", "3:p4!=part");
		Assert.assertEquals(culprit(this.ledger), Optional.empty());
		add(this.ledger, "s5", "4:p5!=part");
		Assert.assertEquals(culprit(this.ledger), Optional.of("part"));
	}

	@Test
	public void answersToManyOtherPromptsDontKeepAPartFromBeingCleared() {
		add(this.ledger, "s1", "0:p1!=part");
		for (int other = 0; other < 10_000; other++) {
			this.ledger.clear(key("other-" + other));
		}
		this.ledger.clear(key("part"));
		Assert.assertFalse(this.ledger.isAccused(key("part")));
		add(this.ledger, "s1", "0:p2!=part");
		Assert.assertFalse(this.ledger.isAccused(key("part")), "another report of the same crash");
	}

	@Test
	public void repeatedReportsOfACrashCountOnce() {
		for (int report = 0; report < 5; report++) {
			add(this.ledger, "s1", report + ":p" + report + "!=part");
		}
		Assert.assertEquals(this.ledger.crashCount(key("part")), 1);
		Assert.assertEquals(culprit(this.ledger), Optional.empty());
	}

	@Test
	public void crashesOfAKnownCulpritAccuseNoOtherPart() {
		for (int crash = 0; crash < 5; crash++) {
			add(this.ledger, "s" + crash, crash + ":p" + crash + "!=bad,q" + crash + "!=rare");
		}
		Assert.assertEquals(this.ledger.removeCrashesOf(key("bad")).size(), 5);
		Assert.assertEquals(culprit(this.ledger), Optional.empty());
	}

	@Test
	public void oldCrashesAreForgotten() {
		add(this.ledger, "s1", "0:p1!=part");
		this.ledger.expire(CrashLedger.MAX_AGE_MILLIS + 1);
		Assert.assertTrue(this.ledger.isEmpty());
	}

	private static Optional<String> culprit(CrashLedger ledger) {
		return ledger.culprit().map((found) -> found.part().part());
	}

	private static void add(CrashLedger ledger, String server, String crash) {
		String[] timeAndPrompts = crash.split(":");
		List<Witness> witnesses = Arrays.stream(timeAndPrompts[1].split(",")).map(CrashLedgerTests::witness).toList();
		ledger.add(new CrashReport(server, 0, witnesses), Long.parseLong(timeAndPrompts[0]) * SPACING_MILLIS);
	}

	private static Witness witness(String text) {
		String[] promptAndParts = text.split("=");
		String prompt = promptAndParts[0].replace("!", "");
		return new Witness(prompt, Arrays.stream(promptAndParts[1].split("\\+")).map(CrashLedgerTests::key).toList(),
				promptAndParts[0].endsWith("!"));
	}

	private static PromptPartKey key(String part) {
		return new PromptPartKey("m", part);
	}

}
