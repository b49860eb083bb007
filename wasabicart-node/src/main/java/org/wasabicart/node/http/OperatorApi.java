package org.wasabicart.node.http;

import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Serves the paths that the node answers itself instead of routing the request to a
 * service.
 */
@FunctionalInterface
public interface OperatorApi {

	/**
	 * Handles a request if the node serves its path itself.
	 * @param request request; its body is not read
	 * @return the response, or empty if the request is to be routed to a service
	 */
	Optional<CompletionStage<HttpResponse>> handle(HttpRequest request);

}
