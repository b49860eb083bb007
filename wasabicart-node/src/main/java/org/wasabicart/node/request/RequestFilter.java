package org.wasabicart.node.request;

import java.util.ArrayDeque;

import org.wasabicart.node.peer.CallHandle;
import org.wasabicart.node.peer.CallHandler;
import org.wasabicart.node.peer.CallListener;
import org.wasabicart.node.peer.CallRequest;

/**
 * Step of the request path with a single responsibility.
 * <p>
 * Example of a filter that passes every call on:
 * {@code (request, listener, next) -> next.handle(request, listener)}.
 */
@FunctionalInterface
public interface RequestFilter {

	/**
	 * Responds to a call or passes it on.
	 * @param request call
	 * @param listener to be invoked exactly once with the response
	 * @param next rest of the chain
	 * @return handle to cancel the call
	 */
	CallHandle handle(CallRequest request, CallListener listener, CallHandler next);

	/**
	 * Creates a handler that passes calls through a chain of filters.
	 * @param filters filters in the order in which they handle a call
	 * @param last handler after the last filter
	 * @return the handler
	 */
	static CallHandler chain(Iterable<RequestFilter> filters, CallHandler last) {
		CallHandler chain = last;
		ArrayDeque<RequestFilter> reversed = new ArrayDeque<>();
		filters.forEach(reversed::push);
		for (RequestFilter filter : reversed) {
			CallHandler next = chain;
			chain = (request, listener) -> filter.handle(request, listener, next);
		}
		return chain;
	}

}
