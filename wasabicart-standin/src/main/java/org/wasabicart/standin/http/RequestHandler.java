package org.wasabicart.standin.http;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Answers the requests of one HTTP server.
 */
@FunctionalInterface
public interface RequestHandler {

	/**
	 * Answers a request.
	 * @param request request
	 * @param disconnected completes when the client has closed the connection
	 * @return the response; a response that never completes keeps the client waiting
	 */
	CompletionStage<HttpResponse> handle(HttpRequest request, CompletionStage<Void> disconnected);

}
