package org.marjoramgw.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.marjoramgw.rig.Deployment;
import org.marjoramgw.rig.StandinProcess;

/**
 * Files that tell other terminals where a kept demo listens; they go when it stops.
 *
 * @author The marjoramgw authors
 */
final class DemoFiles implements AutoCloseable {

	private final Path entry;

	private final Path operator;

	/**
	 * Writes the files.
	 * @param directory where to write them
	 * @param running the demo
	 * @throws IOException if they can't be written
	 */
	DemoFiles(Path directory, Deployment running) throws IOException {
		this.entry = directory.resolve("entry");
		this.operator = directory.resolve("operator.toml");
		Files.createDirectories(directory);
		Files.writeString(this.entry, running.entries().iterator().next().address("http") + "\n");
		Files.writeString(this.operator, new TomlMapper().writeValueAsString(operatorSettings(running)));
		Runtime.getRuntime().addShutdownHook(new Thread(this::close, "demo files"));
	}

	private static Map<String, String> operatorSettings(Deployment running) {
		return Map.of("log_url", "http://" + running.standins().address(StandinProcess.LOG), "vm_list_url",
				"http://" + running.standins().address(StandinProcess.VM_LIST), "operator_token",
				Deployment.OPERATOR_TOKEN, "operator", "demo");
	}

	@Override
	public void close() {
		this.entry.toFile().delete();
		this.operator.toFile().delete();
	}

}
