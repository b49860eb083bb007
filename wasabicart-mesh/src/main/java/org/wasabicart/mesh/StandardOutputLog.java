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
 * Writes log lines from a thread of its own. A reader that does not keep up loses lines,
 * which are counted; the threads that log never wait.
 */
public final class StandardOutputLog extends Handler {

	/** Lines that wait to be written: some seconds at the highest rate. */
	private static final int QUEUED_LINES = 2048;

	/** Pause between two writes: a line is seen soon enough. */
	private static final long PAUSE_MILLISECONDS = 100;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUED_LINES);

	private final AtomicLong lost = new AtomicLong();

	private final Timestamps timestamps = new Timestamps();

	private final PrintStream output;

	private StandardOutputLog(PrintStream output) {
		this.output = Objects.requireNonNull(output, "output");
	}

	/**
	 * Directs all logging of the process to an output.
	 * @param output output
	 * @param level lowest level that is logged
	 * @return the handler, to be flushed before the process ends
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
		String line = this.timestamps.of(record.getMillis()) + " level=" + record.getLevel() + " logger="
				+ simpleName(record.getLoggerName()) + " " + record.getMessage()
				+ ((record.getThrown() != null) ? " exception=\"" + record.getThrown() + "\"" : "");
		if (!this.lines.offer(line)) {
			this.lost.incrementAndGet();
		}
	}

	private static String simpleName(String loggerName) {
		return (loggerName != null) ? loggerName.substring(loggerName.lastIndexOf('.') + 1) : "";
	}

	private void write() {
		try {
			while (true) {
				write(this.lines.take());
				// Lines that come meanwhile wake nobody and are written together.
				TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
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
		long count = this.lost.getAndSet(0);
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
	 * Formats times. The part up to the second is kept, since lines come in numbers.
	 */
	static final class Timestamps {

		private static final long MILLISECONDS = 1000;

		private volatile Second last = new Second(-1, "");

		String of(long milliseconds) {
			long second = Math.floorDiv(milliseconds, MILLISECONDS);
			Second known = this.last;
			if (known.second != second) {
				String text = Instant.ofEpochSecond(second).toString();
				known = new Second(second, text.substring(0, text.length() - 1));
				this.last = known;
			}
			long fraction = Math.floorMod(milliseconds, MILLISECONDS);
			return known.text + ((fraction < 10) ? ".00" : (fraction < 100) ? ".0" : ".") + fraction + "Z";
		}

		private record Second(long second, String text) {

		}

	}

}
