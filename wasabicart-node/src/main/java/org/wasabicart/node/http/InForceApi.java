package org.wasabicart.node.http;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import org.wasabicart.core.model.Revision;
import org.wasabicart.node.observe.InForceSurvey;

/**
 * Counts the members on which a revision is in force
 * ({@code GET /wasabicart/in-force?revision=N}).
 */
public final class InForceApi implements OperatorApi {

	private static final String PATH = "/wasabicart/in-force";

	// At most 18 digits fit in a long.
	private static final Pattern QUERY = Pattern.compile("revision=([0-9]{1,18})");

	private static final int OK = 200;

	private final InForceSurvey survey;

	/**
	 * Creates the interface.
	 * @param survey asks the members
	 */
	public InForceApi(InForceSurvey survey) {
		this.survey = Objects.requireNonNull(survey, "survey");
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request) {
		if (!request.getUri().path().equals(PATH) || !request.method().equals(HttpMethods.GET)) {
			return Optional.empty();
		}
		Matcher query = QUERY.matcher(request.getUri().rawQueryString().orElse(""));
		if (!query.matches()) {
			return Optional.of(CompletableFuture.completedFuture(json(ResponseWriter.BAD_REQUEST,
					Map.of("message", "The query must be revision=N with a whole number"))));
		}
		Revision revision = new Revision(Long.parseLong(query.group(1)));
		return Optional.of(this.survey.count(revision).thenApply((count) -> json(OK, count)));
	}

	private static HttpResponse json(int status, Object value) {
		return HttpResponse.create()
			.withStatus(status)
			.withEntity(ContentTypes.APPLICATION_JSON, ResponseWriter.json(value));
	}

}
