package org.wasabicart.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Record of a case: what was sent, answered and run, with the time in milliseconds.
 */
final class Record implements AutoCloseable {

	private final long start = System.nanoTime();

	private final PrintWriter writer;

	Record(Path file) throws IOException {
		this.writer = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
	}

	synchronized void log(String format, Object... arguments) {
		this.writer.printf("%8.1f ", (System.nanoTime() - this.start) / 1e6);
		this.writer.printf(format, arguments);
		this.writer.println();
		this.writer.flush();
	}

	@Override
	public synchronized void close() {
		this.writer.close();
	}

}
