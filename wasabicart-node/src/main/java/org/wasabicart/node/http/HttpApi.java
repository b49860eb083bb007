package org.wasabicart.node.http;

import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Handles the requests of one HTTP server.
 */
@FunctionalInterface
interface HttpApi {

	/**
	 * Handles a request.
	 * @param request request, whose body may not have arrived yet
	 * @param scope calls of the connection on which the request arrived
	 * @return the response; never fails
	 */
	CompletionStage<HttpResponse> handle(HttpRequest request, ConnectionScope scope);

}
