package org.wasabicart.node.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.wasabicart.core.model.RequestContext;
import org.wasabicart.core.model.ServiceName;

/**
 * Call that one node sends to another, with its whole body.
 *
 * @param context context of the call, with the retry allowance reserved for it
 * @param service target service
 * @param ticket ticket of the order, if the call has one
 * @param toHome whether the receiver handles the call as the home node of the ticket
 * instead of passing it to its local backend server
 * @param method HTTP method
 * @param path HTTP path with query
 * @param headers header fields that are forwarded
 * @param body whole body; not copied, must not be modified
 */
public record CallRequest(RequestContext context, ServiceName service, Optional<String> ticket, boolean toHome,
		String method, String path, List<HttpHeaderField> headers, byte[] body) {

	public CallRequest {
		Objects.requireNonNull(context, "context");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(ticket, "ticket");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(path, "path");
		headers = List.copyOf(headers);
		Objects.requireNonNull(body, "body");
	}

}
