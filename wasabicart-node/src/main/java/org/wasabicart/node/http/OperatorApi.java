package org.wasabicart.node.http;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Serves the node's own paths.
 */
@FunctionalInterface
public interface OperatorApi {

	/**
	 * Handles a request for one of the node's own paths.
	 * @param request request; its body is not read
	 * @return the response, or empty if the path is not the node's own
	 */
	Optional<CompletionStage<HttpResponse>> handle(HttpRequest request);

}
