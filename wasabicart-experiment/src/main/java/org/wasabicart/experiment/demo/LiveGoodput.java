package org.wasabicart.experiment.demo;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

import org.wasabicart.standin.caller.CallerRecord;
import org.wasabicart.standin.caller.LoadListener;

/**
 * Prints the goodput of each request kind every second.
 */
final class LiveGoodput implements LoadListener, AutoCloseable {

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();

	private final Map<String, LongAdder> good = new ConcurrentHashMap<>();

	private final Map<String, LongAdder> other = new ConcurrentHashMap<>();

	private final List<String> kinds;

	private final PrintStream output;

	private volatile String phase = "";

	private int second;

	LiveGoodput(List<String> kinds, PrintStream output) {
		this.kinds = List.copyOf(kinds);
		this.output = output;
		this.kinds.forEach((kind) -> {
			this.good.put(kind, new LongAdder());
			this.other.put(kind, new LongAdder());
		});
	}

	void start() {
		this.timer.scheduleAtFixedRate(this::print, 1, 1, TimeUnit.SECONDS);
	}

	void phase(String name) {
		this.phase = name;
	}

	@Override
	public void requestEnded(CallerRecord record) {
		Map<String, LongAdder> counts = record.countsAsGoodput() ? this.good : this.other;
		counts.get(record.arrival().kind().name()).increment();
	}

	private void print() {
		StringBuilder line = new StringBuilder(String.format("%3d s  %-8s goodput/s:", ++this.second, this.phase));
		for (String kind : this.kinds) {
			line.append(String.format("  %s %d (other %d)", kind, this.good.get(kind).sumThenReset(),
					this.other.get(kind).sumThenReset()));
		}
		this.output.println(line);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

}
