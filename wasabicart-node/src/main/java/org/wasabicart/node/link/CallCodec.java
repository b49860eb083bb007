package org.wasabicart.node.link;

import java.util.List;
import java.util.Optional;

import org.wasabicart.core.model.ServiceName;
import org.wasabicart.node.peer.CallRequest;
import org.wasabicart.node.peer.CallResponse;
import org.wasabicart.node.peer.HttpHeaderField;
import org.wasabicart.node.peer.ServiceThreshold;
import org.wasabicart.wire.ContextCodec;
import org.wasabicart.wire.OutcomeCodec;
import org.wasabicart.wire.WireFormatException;
import org.wasabicart.wire.generated.link.Call;
import org.wasabicart.wire.generated.link.Header;
import org.wasabicart.wire.generated.link.Response;

/**
 * Converts calls and responses between the peer API and the heads of the link protocol.
 */
public final class CallCodec {

	private CallCodec() {
	}

	static Call toCall(CallRequest request, long epoch, long stream, long nowNanoseconds) {
		Call.Builder call = Call.newBuilder()
			.setEpoch(epoch)
			.setStream(stream)
			.setService(request.service().value())
			.setTicket(request.ticket().orElse(""))
			.setToHome(request.toHome())
			.setMethod(request.method())
			.setPath(request.path())
			.setBodyBytes(request.body().length);
		ContextCodec.write(request.context(), nowNanoseconds, call);
		request.headers().forEach((field) -> call.addHeaders(toHeader(field)));
		return call.build();
	}

	static CallRequest toRequest(Call call, byte[] body, long nowNanoseconds) throws WireFormatException {
		try {
			Optional<String> ticket = Optional.of(call.getTicket()).filter((value) -> !value.isEmpty());
			return new CallRequest(ContextCodec.read(call, nowNanoseconds), new ServiceName(call.getService()), ticket,
					call.getToHome(), call.getMethod(), call.getPath(), toHeaderFields(call.getHeadersList()), body);
		}
		catch (IllegalArgumentException ex) {
			throw new WireFormatException("Call has an invalid field", ex);
		}
	}

	/**
	 * Converts a response to its head.
	 * @param response response
	 * @return the head, without epoch and stream
	 */
	public static Response.Builder toHead(CallResponse response) {
		Response.Builder head = Response.newBuilder()
			.setUnspentRetryAllowance(response.unspentRetryAllowance())
			.setBodyBytes(response.body().length);
		OutcomeCodec.write(response.outcome(), head);
		response.thresholds()
			.forEach((threshold) -> head.addThresholdsBuilder()
				.setService(threshold.service().value())
				.setThreshold(threshold.threshold()));
		response.headers().forEach((field) -> head.addHeaders(toHeader(field)));
		return head;
	}

	/**
	 * Converts a head and its body to a response.
	 * @param head head
	 * @param body whole body
	 * @return the response
	 * @throws WireFormatException if the head is not valid
	 */
	public static CallResponse toResponse(Response head, byte[] body) throws WireFormatException {
		try {
			List<ServiceThreshold> thresholds = head.getThresholdsList()
				.stream()
				.map((threshold) -> new ServiceThreshold(new ServiceName(threshold.getService()),
						threshold.getThreshold()))
				.toList();
			return new CallResponse(OutcomeCodec.read(head), Math.max(0, head.getUnspentRetryAllowance()), thresholds,
					toHeaderFields(head.getHeadersList()), body);
		}
		catch (IllegalArgumentException ex) {
			throw new WireFormatException("Response has an invalid field", ex);
		}
	}

	private static Header toHeader(HttpHeaderField field) {
		return Header.newBuilder().setName(field.name()).setValue(field.value()).build();
	}

	private static List<HttpHeaderField> toHeaderFields(List<Header> headers) {
		return headers.stream().map((header) -> new HttpHeaderField(header.getName(), header.getValue())).toList();
	}

}
