package org.wasabicart.mesh;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against log lines with the timestamp of another line, and against lines that
 * other writers make up.
 */
class StandardOutputLogTests {

	/**
	 * Guards against a value of another writer that ends its line and begins another one.
	 */
	@Test
	void lineBreaksOfMessagesAreEscaped() {
		LogRecord record = new LogRecord(Level.WARNING, "event=first id=i-1\r\nlevel=INFO event=forged\u2028\u0085\tx");
		record.setLoggerName("a.b.Name\n");
		record.setThrown(new IllegalArgumentException("first\nsecond"));
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		StandardOutputLog log = new StandardOutputLog(new PrintStream(output, true, StandardCharsets.UTF_8));
		log.publish(record);
		log.flush();
		assertThat(output.toString(StandardCharsets.UTF_8).lines()).hasSize(1)
			.allMatch((line) -> line
				.endsWith("level=WARNING logger=Name\\n event=first id=i-1\\r\\nlevel=INFO event=forged"
						+ "\\u2028\\u0085\\tx exception=\"java.lang.IllegalArgumentException: first\\nsecond\""));
	}

	@Test
	void cachedSecondIsNotUsedForOtherSeconds() {
		StandardOutputLog.TimestampFormatter formatter = new StandardOutputLog.TimestampFormatter();
		assertThat(formatter.format(1_769_032_061_007L)).isEqualTo("2026-01-21T21:47:41.007Z");
		assertThat(formatter.format(1_769_032_061_070L)).isEqualTo("2026-01-21T21:47:41.070Z");
		assertThat(formatter.format(1_769_032_062_700L)).isEqualTo("2026-01-21T21:47:42.700Z");
		assertThat(formatter.format(1_769_032_061_000L)).isEqualTo("2026-01-21T21:47:41.000Z");
	}

}
