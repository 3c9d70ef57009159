package org.marjoramgw.ctl;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.marjoramgw.settings.TomlTable;
import org.marjoramgw.standin.StandinSystem;
import org.marjoramgw.standin.log.LogSettings;
import org.marjoramgw.standin.log.LogStandin;
import org.marjoramgw.standin.vmlist.VmListSettings;
import org.marjoramgw.standin.vmlist.VmListStandin;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;

/**
 * Runs the operators' commands against stand-ins of the platform, and keeps the output of
 * the last one.
 *
 * @author The marjoramgw authors
 */
public abstract class CommandFixture {

	private final ObjectMapper mapper = new ObjectMapper();

	StandinSystem system;

	LogStandin log;

	VmListStandin vmList;

	private Path directory;

	private Path settings;

	String out;

	String err;

	@BeforeClass
	public void start() throws Exception {
		this.system = new StandinSystem();
		this.directory = Files.createTempDirectory("ctl-tests");
	}

	@AfterClass
	public void stop() {
		this.system.close();
	}

	@BeforeMethod
	public void startPlatform() throws Exception {
		this.log = LogStandin.start(this.system, LogSettings.read(TomlTable.ofText("log", "")));
		this.vmList = VmListStandin.start(this.system, VmListSettings.read(TomlTable.ofText("vms", "lag_ms = 0")));
		this.settings = write("settings.toml",
				"log_url = \"http://%s\"\nvm_list_url = \"http://%s\"\noperator_token = \"%s\"\noperator = \"ana\"\n"
					.formatted(this.log.address(), this.vmList.address(), FakeProcess.TOKEN));
	}

	@AfterMethod(alwaysRun = true)
	public void stopPlatform() {
		this.log.close();
		this.vmList.close();
	}

	int runWithSettings(String... arguments) {
		List<String> all = new ArrayList<>(List.of(arguments));
		all.addAll(1, List.of("--config", this.settings.toString()));
		return run(all.toArray(new String[0]));
	}

	int run(String... arguments) {
		ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
		ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
		int code = new CtlMain(new PrintStream(outBytes), new PrintStream(errBytes)).run(arguments);
		this.out = outBytes.toString(StandardCharsets.UTF_8);
		this.err = errBytes.toString(StandardCharsets.UTF_8);
		return code;
	}

	JsonNode json() throws Exception {
		return this.mapper.readTree(this.out);
	}

	Path write(String name, String text) throws Exception {
		return Files.writeString(this.directory.resolve(name), text);
	}

	static void assertContains(String text, String part) {
		Assert.assertTrue(text.contains(part), "\"" + part + "\" is not in: " + text);
	}

}
