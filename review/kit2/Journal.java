package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the time since the start. */
final class Journal implements AutoCloseable {

	private final long start = System.nanoTime();

	private final PrintWriter writer;

	Journal(Path folder) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
	}

	/** Milliseconds since the start of the case. */
	double now() {
		return (System.nanoTime() - this.start) / 1e6;
	}

	synchronized void line(String format, Object... arguments) {
		this.writer.printf("%9.1f ", now());
		this.writer.printf(format, arguments);
		this.writer.println();
	}

	/** A line that also goes to standard output. */
	void say(String format, Object... arguments) {
		line(format, arguments);
		System.out.printf("%9.1f ", now());
		System.out.printf(format, arguments);
		System.out.println();
	}

	@Override
	public synchronized void close() {
		this.writer.close();
	}

}
