package org.wasabicart.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.jboss.logging.Logger;

/**
 * HTTP server for small requests that are answered without blocking, such as readiness
 * checks, heartbeats and metrics.
 */
public final class LocalHttpServer {

	private static final Logger logger = Logger.getLogger(LocalHttpServer.class);

	private static final int MAXIMUM_BODY_BYTES = 64 * 1024;

	/** Bytes of a request line. */
	private static final int MAXIMUM_LINE_BYTES = 4 * 1024;

	/** Bytes of the header lines of a request. */
	private static final int MAXIMUM_HEADER_BYTES = 8 * 1024;

	/** Header lines of a request; each takes 128 bytes of memory besides its text. */
	private static final int MAXIMUM_HEADER_LINES = 100;

	/** Each piece of an incomplete body retains a read buffer of 16 KB until merged. */
	private static final int MAXIMUM_BODY_PIECES = 4;

	private LocalHttpServer() {
	}

	/**
	 * Starts a server with the default limits.
	 * @param eventLoop event loop that invokes the handler
	 * @param address listen address
	 * @param handler responds to requests
	 * @throws IOException if the address cannot be bound
	 */
	public static void start(EventLoop eventLoop, InetSocketAddress address, Handler handler) throws IOException {
		start(eventLoop, address, handler, Limits.DEFAULT);
	}

	/**
	 * Starts a server.
	 * @param eventLoop event loop that invokes the handler
	 * @param address listen address
	 * @param handler responds to requests
	 * @param limits limits of the connections
	 * @throws IOException if the address cannot be bound
	 */
	public static void start(EventLoop eventLoop, InetSocketAddress address, Handler handler, Limits limits)
			throws IOException {
		Objects.requireNonNull(handler, "handler");
		LocalConnections connections = new LocalConnections(limits);
		ChannelFuture bound = Sockets.listen(eventLoop, address, new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				LocalConnections.Connection connection = connections.new Connection();
				HttpObjectAggregator aggregator = new HttpObjectAggregator(MAXIMUM_BODY_BYTES);
				aggregator.setMaxCumulationBufferComponents(MAXIMUM_BODY_PIECES);
				channel.pipeline()
					.addLast(connection, new HttpServerCodec(decoderConfig()), new HttpServerKeepAliveHandler(),
							aggregator, new RequestHandler(handler, connection));
			}
		}).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IOException("Cannot listen on " + address, bound.cause());
		}
		connections.startChecks(eventLoop);
	}

	private static HttpDecoderConfig decoderConfig() {
		HttpHeadersFactory headers = new BoundedHeadersFactory();
		return new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
			.setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
			.setHeadersFactory(headers)
			.setTrailersFactory(headers);
	}

	/**
	 * Limits of the connections of one address.
	 *
	 * @param connections maximum number of open connections; above it, the longest idle
	 * one is closed
	 * @param requestTimeout maximum time from the first byte of a request to its end
	 * @param idleTimeout time after which a connection without a request is closed
	 */
	public record Limits(int connections, Duration requestTimeout, Duration idleTimeout) {

		/**
		 * Default limits. Readiness checks and heartbeats come about once a second, on
		 * connections that may be idle for up to 60 s.
		 */
		public static final Limits DEFAULT = new Limits(64, Duration.ofSeconds(10), Duration.ofSeconds(75));

		public Limits {
			if (connections < 1 || requestTimeout.toNanos() <= 0 || idleTimeout.toNanos() <= 0) {
				throw new IllegalArgumentException("Limits must be positive");
			}
		}

	}

	/**
	 * Responds to requests.
	 */
	@FunctionalInterface
	public interface Handler {

		/**
		 * Responds to one request.
		 * @param method method of the request
		 * @param path path without query
		 * @param body complete body
		 * @return the response
		 */
		Response handle(String method, String path, byte[] body);

	}

	/**
	 * Response to one request.
	 *
	 * @param status HTTP status
	 * @param contentType media type
	 * @param body body
	 */
	public record Response(int status, String contentType, byte[] body) {

	}

	private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		private final Handler handler;

		private final LocalConnections.Connection connection;

		RequestHandler(Handler handler, LocalConnections.Connection connection) {
			super(FullHttpRequest.class);
			this.handler = handler;
			this.connection = connection;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			if (request.decoderResult().isFailure()) {
				this.connection.close("invalid-request");
				return;
			}
			if (!context.channel().isWritable()) {
				this.connection.close("unread-responses");
				return;
			}
			this.connection.requestCompleted();
			String target = request.uri();
			int query = target.indexOf('?');
			Response response = this.handler.handle(request.method().name(),
					(query >= 0) ? target.substring(0, query) : target, ByteBufUtil.getBytes(request.content()));
			FullHttpResponse httpResponse = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(response.status()), Unpooled.wrappedBuffer(response.body()));
			httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
			HttpUtil.setContentLength(httpResponse, response.body().length);
			context.writeAndFlush(httpResponse).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			logger.debugf("event=local-connection-failed peer=%s reason=\"%s\"", context.channel().remoteAddress(),
					cause);
			context.close();
		}

	}

	/**
	 * Creates header fields with a limited number of lines.
	 */
	private static final class BoundedHeadersFactory implements HttpHeadersFactory {

		@Override
		public HttpHeaders newHeaders() {
			return new BoundedHeaders();
		}

		@Override
		public HttpHeaders newEmptyHeaders() {
			return newHeaders();
		}

	}

	private static final class BoundedHeaders extends DefaultHttpHeaders {

		@Override
		public HttpHeaders add(CharSequence name, Object value) {
			if (size() >= MAXIMUM_HEADER_LINES) {
				throw new TooLongFrameException("More than " + MAXIMUM_HEADER_LINES + " header lines");
			}
			return super.add(name, value);
		}

	}

}
