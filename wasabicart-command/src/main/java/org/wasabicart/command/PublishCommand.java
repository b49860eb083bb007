package org.wasabicart.command;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import joptsimple.OptionParser;
import joptsimple.OptionSet;

import org.wasabicart.configuration.ConfigurationDocument;
import org.wasabicart.core.model.Revision;
import org.wasabicart.store.ChangeId;
import org.wasabicart.store.PublishResult;

/**
 * Publishes the sections of configuration files and, if nodes are given, waits until the
 * revision is in force.
 */
final class PublishCommand implements Command {

	private static final int DEFAULT_WAIT_SECONDS = 10;

	@Override
	public String name() {
		return "publish";
	}

	@Override
	public String summary() {
		return "publish the sections of FILE and wait until they are in force";
	}

	@Override
	public void declare(OptionParser parser) {
		StoreAccess.declareFlag(parser);
		parser.accepts("base", "revision that the change is based on (default: the latest)")
			.withRequiredArg()
			.ofType(Long.class);
		parser.accepts("change-id", "id of the change; publishing again with the same id is safe").withRequiredArg();
		parser.accepts("node", "HTTP URL of a node that counts the nodes on which the revision is in force; repeatable")
			.withRequiredArg()
			.describedAs("URL");
		parser.accepts("wait-seconds", "longest time to wait until the revision is in force")
			.withRequiredArg()
			.ofType(Integer.class)
			.defaultsTo(DEFAULT_WAIT_SECONDS);
		parser.nonOptions("configuration files, or - for standard input").describedAs("FILE");
	}

	@Override
	public ExitCode run(OptionSet options, CommandOutput output) throws CommandException, InterruptedException {
		ConfigurationFiles files = new ConfigurationFiles();
		ConfigurationDocument document = files.read(options);
		if (!files.findings().isEmpty()) {
			FindingsReport.print(files.findings(), output);
			return ExitCode.REFUSED;
		}
		ChangeId change = changeId(options);
		Optional<Revision> base = Optional.ofNullable((Long) options.valueOf("base")).map(Revision::new);
		PublishResult result;
		try (StoreAccess store = StoreAccess.open(options)) {
			result = store.publisher().publish(document, base, change);
		}
		return report(result, change, options, output);
	}

	private ChangeId changeId(OptionSet options) throws CommandException {
		try {
			return options.has("change-id") ? new ChangeId((String) options.valueOf("change-id"))
					: new ChangeId(UUID.randomUUID().toString());
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCode.USAGE, "--change-id: " + ex.getMessage());
		}
	}

	private ExitCode report(PublishResult result, ChangeId change, OptionSet options, CommandOutput output)
			throws CommandException, InterruptedException {
		if (result instanceof PublishResult.Accepted accepted) {
			return reportAccepted(accepted, change, options, output);
		}
		if (result instanceof PublishResult.Invalid invalid) {
			output.line("refused: the merged configuration has findings");
			FindingsReport.print(invalid.findings(), output);
			return ExitCode.REFUSED;
		}
		if (result instanceof PublishResult.Conflict conflict) {
			reportConflict(conflict, output);
			return ExitCode.REFUSED;
		}
		if (result instanceof PublishResult.NotWritten notWritten) {
			output.line("refused: nothing was written: " + notWritten.message());
			output.document(resultNode("refused", change).put("message", notWritten.message()));
			return ExitCode.REFUSED;
		}
		String message = ((PublishResult.Unknown) result).message();
		output.line("unknown: " + message);
		output.line("publish again with --change-id " + change.value());
		output.document(resultNode("unknown", change).put("message", message));
		return ExitCode.UNKNOWN;
	}

	private ExitCode reportAccepted(PublishResult.Accepted accepted, ChangeId change, OptionSet options,
			CommandOutput output) throws InterruptedException {
		ObjectNode document = resultNode("accepted", change).put("revision", accepted.revision().value())
			.put("written", accepted.written());
		output.line("accepted: revision " + accepted.revision()
				+ (accepted.written() ? "" : ", an equal section was already stored"));
		List<String> nodes = options.valuesOf("node").stream().map(String::valueOf).toList();
		ExitCode exitCode = ExitCode.SUCCESS;
		if (!nodes.isEmpty()) {
			Duration timeout = Duration.ofSeconds((Integer) options.valueOf("wait-seconds"));
			InForceWait.Result waitResult = new InForceWait(nodes, timeout).await(accepted.revision());
			double seconds = waitResult.waited().toMillis() / 1000.0;
			output.line("in force on " + waitResult.inForce() + " of " + waitResult.members() + " nodes after "
					+ seconds + " s");
			document.put("nodesInForce", waitResult.inForce())
				.put("nodes", waitResult.members())
				.put("seconds", seconds);
			exitCode = waitResult.isComplete() ? ExitCode.SUCCESS : ExitCode.UNKNOWN;
		}
		output.document(document);
		return exitCode;
	}

	private void reportConflict(PublishResult.Conflict conflict, CommandOutput output) throws CommandException {
		ConfigurationDocument after = conflict.stored().merge(conflict.own());
		output.line("refused: the same section was changed in revision " + conflict.storedRevision()
				+ " or before it; stored -> proposed:");
		for (JsonDifference.Entry entry : JsonDifference.between(conflict.stored(), after)) {
			output.line(entry.path() + ": " + entry.before() + " -> " + entry.after());
		}
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		document.put("result", "conflict").put("storedRevision", conflict.storedRevision().value());
		document.set("stored", JsonDifference.toTree(conflict.stored()));
		document.set("own", JsonDifference.toTree(conflict.own()));
		output.document(document);
	}

	private ObjectNode resultNode(String result, ChangeId change) {
		return JsonNodeFactory.instance.objectNode().put("result", result).put("changeId", change.value());
	}

}
