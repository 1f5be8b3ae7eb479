import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Writes what was sent, answered and run to the record of a case.
 */
final class Record implements AutoCloseable {

	private final PrintWriter writer;

	private final long startNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void write(String line) {
		this.writer.printf("%8.3f s  %s%n", (System.nanoTime() - this.startNanos) / 1e9, line);
	}

	@Override
	public synchronized void close() {
		this.writer.close();
	}

}
