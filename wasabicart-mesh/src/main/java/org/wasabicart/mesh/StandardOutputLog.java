package org.wasabicart.mesh;

import java.io.PrintStream;
import java.time.Instant;
import java.util.Objects;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Log handler that writes lines on a separate thread, so that logging never blocks. If
 * the output is too slow, lines are dropped and their number is logged.
 */
public final class StandardOutputLog extends Handler {

	/** Capacity of the queue: holds the lines of some seconds at the highest rate. */
	private static final int MAXIMUM_QUEUED_LINES = 2048;

	/** Pause between two writes: collects lines and delays each one only slightly. */
	private static final long WRITE_INTERVAL_MILLISECONDS = 100;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);

	private final AtomicLong droppedLines = new AtomicLong();

	private final TimestampFormatter timestampFormatter = new TimestampFormatter();

	private final PrintStream output;

	StandardOutputLog(PrintStream output) {
		this.output = Objects.requireNonNull(output, "output");
	}

	/**
	 * Replaces all log handlers of the process by one that writes to an output.
	 * @param output output
	 * @param level lowest level that is logged
	 * @return the handler, which must be flushed before the process exits
	 */
	public static StandardOutputLog install(PrintStream output, Level level) {
		LogManager.getLogManager().reset();
		StandardOutputLog handler = new StandardOutputLog(output);
		Logger root = Logger.getLogger("");
		root.addHandler(handler);
		root.setLevel(level);
		Thread writer = new Thread(handler::write, "log");
		writer.setDaemon(true);
		writer.start();
		return handler;
	}

	@Override
	public void publish(LogRecord record) {
		if (!isLoggable(record)) {
			return;
		}
		String line = this.timestampFormatter.format(record.getMillis()) + " level=" + record.getLevel() + " logger="
				+ simpleName(record.getLoggerName()) + " " + record.getMessage()
				+ ((record.getThrown() != null) ? " exception=\"" + record.getThrown() + "\"" : "");
		if (!this.lines.offer(ControlCharacters.escape(line))) {
			this.droppedLines.incrementAndGet();
		}
	}

	private static String simpleName(String loggerName) {
		return (loggerName != null) ? loggerName.substring(loggerName.lastIndexOf('.') + 1) : "";
	}

	private void write() {
		try {
			while (true) {
				write(this.lines.take());
				// Lines logged meanwhile are written together, without a wakeup for each.
				TimeUnit.MILLISECONDS.sleep(WRITE_INTERVAL_MILLISECONDS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void write(String first) {
		StringBuilder text = new StringBuilder();
		for (String line = first; line != null; line = this.lines.poll()) {
			text.append(line).append('\n');
		}
		long count = this.droppedLines.getAndSet(0);
		if (count > 0) {
			text.append("event=log-lines-lost count=").append(count).append('\n');
		}
		this.output.print(text);
		this.output.flush();
	}

	@Override
	public void flush() {
		write(this.lines.poll());
	}

	@Override
	public void close() {
		flush();
	}

	/**
	 * Escapes characters that end a line or change how a terminal shows it. Messages may
	 * contain values of other writers.
	 */
	static final class ControlCharacters {

		private static final char LINE_SEPARATOR = '\u2028';

		private static final char PARAGRAPH_SEPARATOR = '\u2029';

		private ControlCharacters() {
		}

		static String escape(String text) {
			for (int i = 0; i < text.length(); i++) {
				if (isEscaped(text.charAt(i))) {
					return escapeFrom(text, i);
				}
			}
			return text;
		}

		private static String escapeFrom(String text, int first) {
			StringBuilder escaped = new StringBuilder(2 * text.length()).append(text, 0, first);
			for (int i = first; i < text.length(); i++) {
				char character = text.charAt(i);
				switch (character) {
					case '\r' -> escaped.append("\\r");
					case '\n' -> escaped.append("\\n");
					case '\t' -> escaped.append("\\t");
					default -> {
						if (isEscaped(character)) {
							escaped.append(String.format("\\u%04x", (int) character));
						}
						else {
							escaped.append(character);
						}
					}
				}
			}
			return escaped.toString();
		}

		private static boolean isEscaped(char character) {
			return Character.isISOControl(character) || character == LINE_SEPARATOR || character == PARAGRAPH_SEPARATOR;
		}

	}

	/**
	 * Formats timestamps. Caches the text of the last second, since many lines of one
	 * second follow each other.
	 */
	static final class TimestampFormatter {

		private static final long MILLISECONDS_PER_SECOND = 1000;

		private volatile FormattedSecond lastSecond = new FormattedSecond(-1, "");

		String format(long milliseconds) {
			long second = Math.floorDiv(milliseconds, MILLISECONDS_PER_SECOND);
			FormattedSecond cached = this.lastSecond;
			if (cached.second != second) {
				String text = Instant.ofEpochSecond(second).toString();
				cached = new FormattedSecond(second, text.substring(0, text.length() - 1));
				this.lastSecond = cached;
			}
			long fraction = Math.floorMod(milliseconds, MILLISECONDS_PER_SECOND);
			return cached.text + ((fraction < 10) ? ".00" : (fraction < 100) ? ".0" : ".") + fraction + "Z";
		}

		private record FormattedSecond(long second, String text) {

		}

	}

}
