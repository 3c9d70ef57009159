import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Record of what was sent, answered and run. */
final class Record {

	private final PrintWriter out;

	private final long began = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	synchronized void line(String text) {
		String line = String.format("%8.3f %s", (System.nanoTime() - this.began) / 1e9, text);
		this.out.println(line);
		if (System.getenv("VERBOSE") != null) {
			System.out.println(line);
		}
	}

}
