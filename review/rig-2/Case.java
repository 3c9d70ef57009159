import java.nio.file.Path;

/** Base of the cases: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run. */
abstract class Case {

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	static void run(Path folder, Case theCase) {
		int code = 2;
		try {
			Record record = new Record(folder.resolve("record.txt"));
			record.line("trouble=" + TROUBLE);
			Path root = folder.toAbsolutePath().getParent().getParent();
			try (Fleet fleet = new Fleet(root, record)) {
				Thread end = new Thread(() -> fleet.entries.forEach((entry) -> entry.process.destroyForcibly()));
				Runtime.getRuntime().addShutdownHook(end);
				String verdict = theCase.play(fleet, record);
				code = verdict.isEmpty() ? 0 : 1;
				record.line(verdict.isEmpty() ? "HELD" : "BROKEN: " + verdict);
				System.out.println(verdict.isEmpty() ? "held" : "broken: " + verdict);
			}
		}
		catch (Exception ex) {
			System.out.println("could not run: " + ex);
		}
		System.exit(code);
	}

	/** Plays the case and returns what broke the rule, or an empty text. */
	abstract String play(Fleet fleet, Record record) throws Exception;

}
