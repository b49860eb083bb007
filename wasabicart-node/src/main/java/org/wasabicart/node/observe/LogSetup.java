package org.wasabicart.node.observe;

import java.nio.charset.StandardCharsets;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

import org.wasabicart.node.settings.LogFormat;

/**
 * Configures logging of the node process to standard output.
 */
public final class LogSetup {

	// Line breaks in messages are escaped, so that a line cannot be forged.
	private static final String PATTERN = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} level=%p logger=%c{0} "
			+ "%replace(%m){'[\\r\\n]+','\\\\n'}%n%ex{12}";

	private LogSetup() {
	}

	/**
	 * Replaces the logging configuration.
	 * @param format format of the lines
	 * @param level lowest level, in upper case
	 */
	public static void apply(LogFormat format, String level) {
		LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
		context.reset();
		Encoder<ILoggingEvent> encoder = (format == LogFormat.JSON) ? json() : keyValue();
		encoder.setContext(context);
		encoder.start();
		ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
		appender.setContext(context);
		appender.setEncoder(encoder);
		appender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.toLevel(level));
		root.addAppender(appender);
		raiseLibraryLevels(context, root.getLevel());
	}

	// At debug and below, these libraries log each frame and connection.
	private static void raiseLibraryLevels(LoggerContext context, Level level) {
		Level libraryLevel = level.isGreaterOrEqual(Level.WARN) ? level : Level.WARN;
		context.getLogger("io.netty").setLevel(libraryLevel);
		context.getLogger("org.apache.pekko").setLevel(libraryLevel);
	}

	private static Encoder<ILoggingEvent> json() {
		JsonEncoder encoder = new JsonEncoder();
		encoder.setWithSequenceNumber(false);
		encoder.setWithNanoseconds(false);
		encoder.setWithContext(false);
		encoder.setWithFormattedMessage(true);
		encoder.setWithMessage(false);
		return encoder;
	}

	private static Encoder<ILoggingEvent> keyValue() {
		PatternLayoutEncoder encoder = new PatternLayoutEncoder();
		encoder.setCharset(StandardCharsets.UTF_8);
		encoder.setPattern(PATTERN);
		return encoder;
	}

}
