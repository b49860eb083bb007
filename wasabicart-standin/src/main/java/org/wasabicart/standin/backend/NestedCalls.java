package org.wasabicart.standin.backend;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.wasabicart.standin.http.AnswerCheck;
import org.wasabicart.standin.http.Answers;

/**
 * Calls that a run makes to other services, usually through the server's node.
 */
final class NestedCalls {

	private final HttpClient client;

	private final String callUrl;

	private final List<List<String>> groups;

	NestedCalls(HttpClient client, String callUrl, List<List<String>> groups) {
		this.client = client;
		this.callUrl = callUrl;
		this.groups = groups;
	}

	/**
	 * Calls the groups in sequence, and the services of a group in parallel. Stops after
	 * a group in which a call has failed.
	 * @param run run that makes the calls
	 * @return {@code completed} if every call returned its complete answer, otherwise the
	 * result of a failed call
	 */
	CompletableFuture<String> call(Run run) {
		return callGroupsFrom(run, 0);
	}

	private CompletableFuture<String> callGroupsFrom(Run run, int groupIndex) {
		if (groupIndex == this.groups.size()) {
			return CompletableFuture.completedFuture("completed");
		}
		List<CompletableFuture<String>> calls = new ArrayList<>();
		for (String service : this.groups.get(groupIndex)) {
			calls.add(callService(run, service));
		}
		return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).thenCompose((ignored) -> {
			for (CompletableFuture<String> call : calls) {
				if (!call.join().equals("completed")) {
					return call;
				}
			}
			return callGroupsFrom(run, groupIndex + 1);
		});
	}

	private CompletableFuture<String> callService(Run run, String service) {
		String path = "/" + service + run.path();
		long remaining = Math.max(1, run.request().remainingMilliseconds());
		HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(this.callUrl + path))
			.timeout(Duration.ofMillis(remaining))
			.header("Wasabicart-Service", service)
			.header("Wasabicart-Request-Id", run.root());
		if (!run.request().context().isEmpty()) {
			builder.header("Wasabicart-Context", run.request().context());
		}
		if (run.request().method().equals("POST")) {
			builder.POST(HttpRequest.BodyPublishers.ofString(run.root()));
		}
		CompletableFuture<HttpResponse<byte[]>> responseFuture = this.client.sendAsync(builder.build(),
				HttpResponse.BodyHandlers.ofByteArray());
		run.cancelAtEnd(responseFuture);
		return responseFuture.handle((response, ex) -> {
			if (response == null) {
				return "nested-failed";
			}
			if (response.statusCode() != 200) {
				return "nested-" + response.headers().firstValue("Wasabicart-Execution").orElse("failed");
			}
			AnswerCheck check = Answers.check(response.body(), run.root(), path);
			return (check == AnswerCheck.COMPLETE) ? "completed" : "nested-wrong-answer";
		});
	}

}
