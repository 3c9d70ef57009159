package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.StandinProcess;

/**
 * Files from which scripts and operator commands in other terminals read the addresses of
 * a running demo. They are deleted when the demo stops.
 *
 * @author The marjoramgw authors
 */
final class DemoFiles implements AutoCloseable {

	private final Path entryAddressFile;

	private final Path operatorSettingsFile;

	/**
	 * Writes the files.
	 * @param directory directory to write the files to
	 * @param running the running demo deployment
	 * @throws IOException if they can't be written
	 */
	DemoFiles(Path directory, Deployment running) throws IOException {
		this.entryAddressFile = directory.resolve("entry");
		this.operatorSettingsFile = directory.resolve("operator.toml");
		Files.createDirectories(directory);
		Files.writeString(this.entryAddressFile, running.entries().iterator().next().address("http") + "\n");
		Files.writeString(this.operatorSettingsFile, new TomlMapper().writeValueAsString(operatorSettings(running)));
		Runtime.getRuntime().addShutdownHook(new Thread(this::close, "demo files"));
	}

	private static Map<String, String> operatorSettings(Deployment running) {
		return Map.of("log_url", "http://" + running.standins().address(StandinProcess.LOG), "vm_list_url",
				"http://" + running.standins().address(StandinProcess.VM_LIST), "operator_token",
				Deployment.OPERATOR_TOKEN, "operator", "demo");
	}

	@Override
	public void close() {
		this.entryAddressFile.toFile().delete();
		this.operatorSettingsFile.toFile().delete();
	}

}
