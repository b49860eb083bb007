package org.wasabicart.experiment.figures;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads the history of a process's backend servers.
 */
public final class HistoryReader {

	private final ObjectMapper mapper = new ObjectMapper();

	/**
	 * Reads a history.
	 * @param file file with JSON lines
	 * @return the runs and refusals in the order of their start
	 * @throws IOException if the file cannot be read or a line other than the last is
	 * malformed
	 */
	public List<HistoryRun> read(Path file) throws IOException {
		List<HistoryRun> runs = new ArrayList<>();
		Map<Long, Integer> started = new HashMap<>();
		List<String> lines = Files.readAllLines(file);
		for (int number = 0; number < lines.size(); number++) {
			JsonNode line;
			try {
				line = this.mapper.readTree(lines.get(number));
			}
			catch (JsonProcessingException ex) {
				if (number == lines.size() - 1) {
					// The process was killed while it wrote the line.
					break;
				}
				throw ex;
			}
			add(line, runs, started);
		}
		return runs;
	}

	private static void add(JsonNode line, List<HistoryRun> runs, Map<Long, Integer> started) {
		long run = line.path("run").asLong();
		long time = line.path("microseconds").asLong();
		switch (line.path("event").asText()) {
			case "start" -> {
				started.put(run, runs.size());
				runs.add(run(line, true, time, 0));
			}
			case "end" -> {
				int index = started.get(run);
				runs.set(index, run(line, true, runs.get(index).startMicroseconds(), time));
			}
			default -> runs.add(run(line, false, time, time));
		}
	}

	private static HistoryRun run(JsonNode line, boolean ran, long start, long end) {
		return new HistoryRun(line.path("service").asText(), line.path("server").asText(), line.path("root").asText(),
				line.path("kind").asText(), line.path("path").asText(), ran, start, end,
				line.path("serviceMicroseconds").asLong(), line.path("result").asText());
	}

}
