package org.wasabicart.experiment.latency;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.wasabicart.experiment.harness.ManagedProcess;

/**
 * Reads the memory and processor usage of processes.
 */
final class ProcessUsage {

	private static final double KIBIBYTES_PER_MEBIBYTE = 1024;

	private ProcessUsage() {
	}

	static double residentMegabytes(ManagedProcess process) throws IOException {
		for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
			if (line.startsWith("VmRSS:")) {
				return Long.parseLong(line.replaceAll("\\D", "")) / KIBIBYTES_PER_MEBIBYTE;
			}
		}
		throw new IOException("No resident set size found for process " + process.name());
	}

	static List<Double> residentMegabytes(List<ManagedProcess> processes) throws IOException {
		List<Double> sizes = new ArrayList<>();
		for (ManagedProcess process : processes) {
			sizes.add(residentMegabytes(process));
		}
		return sizes;
	}

	static List<Double> coreShares(List<ManagedProcess> processes, Duration interval) throws InterruptedException {
		List<Duration> before = processes.stream().map(ProcessUsage::processorTime).toList();
		long start = System.nanoTime();
		Thread.sleep(interval.toMillis());
		double elapsed = System.nanoTime() - start;
		List<Double> shares = new ArrayList<>();
		for (int index = 0; index < processes.size(); index++) {
			Duration used = processorTime(processes.get(index)).minus(before.get(index));
			shares.add(used.toNanos() / elapsed);
		}
		return shares;
	}

	private static Duration processorTime(ManagedProcess process) {
		return ProcessHandle.of(process.pid())
			.flatMap((handle) -> handle.info().totalCpuDuration())
			.orElse(Duration.ZERO);
	}

}
