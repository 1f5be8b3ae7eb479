import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * One run of a case: its record, its temporary folder, and all that has to be ended.
 */
final class Case implements AutoCloseable {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int COULD_NOT_RUN = 2;

	private static final int MAX_RUN_MILLIS = 110_000;

	private final long startedAtNanos = System.nanoTime();

	private final PrintWriter record;

	private final Path folder;

	private final List<AutoCloseable> resources = new ArrayList<>();

	private volatile boolean ended;

	private final boolean troubled = !"0".equals(System.getenv("TROUBLE"));

	private Case(Path recordFile) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.folder = Files.createTempDirectory("review");
	}

	/** Runs a case and ends the process with the case's exit code. */
	static void run(String[] arguments, Body body) {
		int code = COULD_NOT_RUN;
		try {
			Case current = new Case(Path.of(arguments[0]));
			Runtime.getRuntime().addShutdownHook(new Thread(current::endAll));
			Thread guard = new Thread(() -> current.endLate());
			guard.setDaemon(true);
			guard.start();
			try {
				current.note("disruption: " + (current.troubled ? "on" : "off"));
				code = body.run(current);
			}
			catch (Throwable ex) {
				current.note("could not run: " + ex);
				ex.printStackTrace();
				code = COULD_NOT_RUN;
			}
			current.note("exit code " + code);
			current.ended = true;
			current.close();
		}
		catch (Throwable ex) {
			ex.printStackTrace();
		}
		System.exit(code);
	}

	private void endLate() {
		sleep(MAX_RUN_MILLIS);
		note("could not run: over " + MAX_RUN_MILLIS + " ms");
		endAll();
		Runtime.getRuntime().halt(COULD_NOT_RUN);
	}

	boolean isTroubled() {
		return this.troubled;
	}

	Path folder() {
		return this.folder;
	}

	/** Milliseconds since the start of the run. */
	long now() {
		return (System.nanoTime() - this.startedAtNanos) / 1_000_000;
	}

	synchronized void note(String text) {
		if (this.ended) {
			return;
		}
		this.record.println(String.format("%7d ms  %s", now(), text));
	}

	synchronized <T extends AutoCloseable> T closeAtEnd(T resource) {
		this.resources.add(resource);
		return resource;
	}

	static void sleep(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	void sleepUntil(long millis) {
		sleep(millis - now());
	}

	static Thread start(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private synchronized void endAll() {
		for (int index = this.resources.size() - 1; index >= 0; index--) {
			try {
				this.resources.get(index).close();
			}
			catch (Exception ex) {
				this.record.println("could not end: " + ex);
			}
		}
		this.resources.clear();
	}

	@Override
	public void close() throws IOException {
		endAll();
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

	/** What a case does. */
	interface Body {

		int run(Case current) throws Exception;

	}

}
