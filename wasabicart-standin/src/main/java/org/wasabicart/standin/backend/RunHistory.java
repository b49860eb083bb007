package org.wasabicart.standin.backend;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.wasabicart.standin.http.Json;

/**
 * History of the runs of a process's backend servers, one JSON object per line. Each
 * event is written before the request is answered, so that a killed process leaves a
 * record of the runs that it started. This class is thread-safe.
 */
public final class RunHistory implements AutoCloseable {

	private final Writer writer;

	private RunHistory(Writer writer) {
		this.writer = writer;
	}

	/**
	 * Opens a history that appends to a file.
	 * @param file file
	 * @return the history
	 * @throws IOException if the file cannot be opened
	 */
	public static RunHistory open(Path file) throws IOException {
		return new RunHistory(Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
	}

	/**
	 * Returns a history that discards all events.
	 * @return the history
	 */
	public static RunHistory discarding() {
		return new RunHistory(Writer.nullWriter());
	}

	/**
	 * Writes an event.
	 * @param event {@code start}, {@code end}, or {@code refused} for a request that
	 * never ran
	 * @param run run
	 * @param result result of the run, for example {@code completed} or
	 * {@code cancelled}; empty at the start
	 */
	void write(String event, Run run, String result) {
		ObjectNode line = Json.object()
			.put("event", event)
			.put("microseconds", ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now()))
			.put("run", run.id())
			.put("service", run.service())
			.put("server", run.server())
			.put("root", run.root())
			.put("kind", run.kind())
			.put("ticket", run.ticket())
			.put("path", run.path())
			.put("serviceMicroseconds", run.serviceMicroseconds());
		if (!result.isEmpty()) {
			line.put("result", result);
		}
		synchronized (this.writer) {
			try {
				this.writer.write(Json.format(line) + "\n");
				this.writer.flush();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
	}

	@Override
	public void close() throws IOException {
		this.writer.close();
	}

}
