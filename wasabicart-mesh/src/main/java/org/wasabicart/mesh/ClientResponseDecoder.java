package org.wasabicart.mesh;

import java.util.Map;
import java.util.regex.Pattern;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the HTTP responses on a connection that carries one request at a time. Closes
 * the connection when data arrives while no request is outstanding: the decoder would
 * keep the beginning of a message and join it with the next response. Responses to
 * {@code HEAD} requests have no body.
 */
public final class ClientResponseDecoder extends HttpResponseDecoder {

	/** Status line at the end of another line. */
	private static final Pattern JOINED_STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d \\d{3}(?: .*)?$", Pattern.DOTALL);

	private HttpMethod method = HttpMethod.GET;

	private boolean responseExpected;

	/**
	 * Prepares for the response to a request.
	 * @param requestMethod method of the request
	 */
	public void expect(HttpMethod requestMethod) {
		this.method = requestMethod;
		this.responseExpected = true;
	}

	/**
	 * Ends the response to the outstanding request.
	 * @return whether no further bytes have been received
	 */
	public boolean endResponse() {
		this.responseExpected = false;
		return actualReadableBytes() == 0;
	}

	/**
	 * Returns whether a head consists of the beginning of one response and of another
	 * complete head, as after a server has sent additional bytes in front of a response.
	 * Neither the status nor the header fields of such a head can be trusted.
	 * @param response decoded head
	 * @return whether the head contains more than one status line
	 */
	public static boolean isJoined(HttpResponse response) {
		HttpVersion version = response.protocolVersion();
		if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
			return true;
		}
		if (JOINED_STATUS_LINE.matcher(response.status().reasonPhrase()).find()) {
			return true;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (header.getValue().contains("HTTP/") && JOINED_STATUS_LINE.matcher(header.getValue()).find()) {
				return true;
			}
		}
		return false;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		if (this.responseExpected) {
			super.channelRead(context, message);
			return;
		}
		ReferenceCountUtil.release(message);
		context.close();
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return HttpMethod.HEAD.equals(this.method) || super.isContentAlwaysEmpty(message);
	}

}
