package org.wasabicart.experiment.harness;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Starts Java processes with the class path of this process, and ends all of them when it
 * is closed or this process ends, including after Ctrl-C. The files of a run are in one
 * temporary directory, which is deleted too.
 */
public final class ProcessHarness implements AutoCloseable {

	private static final long EXIT_TIMEOUT_SECONDS = 5;

	// Logback without a configuration also writes the debug lines of all libraries.
	private static final String LOG_CONFIGURATION = """
			<configuration>
				<appender name="CONSOLE" class="ch.qos.logback.core.ConsoleAppender">
					<encoder>
						<pattern>%d{HH:mm:ss.SSS} %level %logger{0} %msg%n</pattern>
					</encoder>
				</appender>
				<root level="INFO">
					<appender-ref ref="CONSOLE"/>
				</root>
			</configuration>
			""";

	private final List<ManagedProcess> processes = Collections.synchronizedList(new ArrayList<>());

	private final Path directory;

	private final Thread shutdownHook = new Thread(this::shutDown, "process-harness-end");

	private boolean closed;

	/**
	 * Creates a harness without processes.
	 * @throws IOException if the temporary directory cannot be created
	 */
	public ProcessHarness() throws IOException {
		this.directory = Files.createTempDirectory("wasabicart-experiment");
		Files.writeString(logConfiguration(), LOG_CONFIGURATION);
		Runtime.getRuntime().addShutdownHook(this.shutdownHook);
	}

	/**
	 * Returns the directory for files of this run.
	 * @return the directory, deleted when the harness is closed
	 */
	public Path directory() {
		return this.directory;
	}

	private Path logConfiguration() {
		return this.directory.resolve("logback.xml");
	}

	/**
	 * Starts a Java process.
	 * @param name unique name, also used for its log file
	 * @param jvmFlags flags of the JVM
	 * @param mainClass main class
	 * @param arguments arguments of the main class
	 * @return the process
	 * @throws IOException if it cannot be started
	 */
	public synchronized ManagedProcess startJava(String name, List<String> jvmFlags, String mainClass,
			List<String> arguments) throws IOException {
		if (this.closed) {
			throw new IOException("The process harness is closed");
		}
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(jvmFlags);
		command.add("-Dlogback.configurationFile=" + logConfiguration());
		command.add("-cp");
		command.add(System.getProperty("java.class.path"));
		command.add(mainClass);
		command.addAll(arguments);
		Path log = this.directory.resolve(name + ".log");
		Process process = new ProcessBuilder(command).redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
			.start();
		ManagedProcess managed = new ManagedProcess(name, process, log);
		this.processes.add(managed);
		return managed;
	}

	/**
	 * Returns the processes that were started.
	 * @return the processes, exited ones included
	 */
	public List<ManagedProcess> processes() {
		return List.copyOf(this.processes);
	}

	/**
	 * Kills processes and waits until they have exited.
	 * @param targets processes
	 */
	public static void kill(List<ManagedProcess> targets) {
		try {
			for (ManagedProcess process : targets) {
				process.signal(ProcessSignal.KILL);
			}
			for (ManagedProcess process : targets) {
				process.awaitExit(EXIT_TIMEOUT_SECONDS);
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void shutDown() {
		this.closed = true;
		kill(processes());
		deleteDirectory();
	}

	private void deleteDirectory() {
		try (Stream<Path> files = Files.walk(this.directory)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
		catch (IOException ex) {
			System.err.println("Temporary files could not be deleted: " + ex.getMessage());
		}
	}

	@Override
	public void close() {
		shutDown();
		try {
			Runtime.getRuntime().removeShutdownHook(this.shutdownHook);
		}
		catch (IllegalStateException ex) {
			// The JVM is shutting down and runs the hook.
			return;
		}
	}

}
