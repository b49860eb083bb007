package org.wasabicart.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Backend server with a configurable behaviour; by default it responds immediately.
 */
final class TestBackend {

	final List<String> requestIds = new ArrayList<>();

	/** Header fields of the requests. */
	final List<HttpHeaders> requestHeaders = new ArrayList<>();

	/** Arrival times of the requests in nanoseconds. */
	final List<Long> arrivals = new ArrayList<>();

	final String instance;

	private final Channel listener;

	private Behaviour behaviour = Behaviour.ANSWER;

	private String rateLimit;

	private boolean leaving;

	private long responseMilliseconds;

	private String status;

	private String additionalFields;

	private final byte[] body;

	TestBackend(EventLoop eventLoop, InetSocketAddress address, String instance, int bodyBytes) throws IOException {
		this.instance = instance;
		this.body = new byte[bodyBytes];
		this.listener = Sockets.listen(eventLoop, address, new ChannelInitializer<Channel>() {
			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline()
					.addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 20),
							new SimpleChannelInboundHandler<FullHttpRequest>() {
								@Override
								protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
									handle(context, request);
								}
							});
			}
		}).awaitUninterruptibly().channel();
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	/**
	 * Stops listening. Must not be called on the event loop, which closes the listener.
	 */
	void stop() {
		this.listener.close().awaitUninterruptibly();
	}

	void setBehaviour(Behaviour value) {
		this.behaviour = value;
	}

	void nameLimit(String requestsPerSecond) {
		this.rateLimit = requestsPerSecond;
	}

	/**
	 * Answers the next requests with another status line.
	 * @param value status as text, or null to answer as before
	 * @param fields additional header fields, each with its line end
	 */
	void answerWith(String value, String fields) {
		this.status = value;
		this.additionalFields = fields;
	}

	void respondAfter(long milliseconds) {
		this.responseMilliseconds = milliseconds;
	}

	void leave() {
		this.leaving = true;
	}

	void stay() {
		this.leaving = false;
	}

	private void handle(ChannelHandlerContext context, FullHttpRequest request) {
		String id = request.headers().get("Id");
		this.requestIds.add(id);
		this.requestHeaders.add(request.headers().copy());
		this.arrivals.add(System.nanoTime());
		if (this.status != null) {
			String message = "HTTP/1.1 " + this.status + " Text\r\nId: " + id + "\r\nSignature: " + this.instance
					+ "\r\n" + this.additionalFields + "Content-Length: 0\r\n\r\n";
			context.pipeline().firstContext().writeAndFlush(Unpooled.copiedBuffer(message, StandardCharsets.US_ASCII));
			return;
		}
		switch (this.behaviour) {
			case ANSWER -> answer(context, id);
			case SHED -> {
				FullHttpResponse shed = response(id, HttpResponseStatus.SERVICE_UNAVAILABLE, false);
				shed.headers().set("Not-Run", "1");
				context.executor()
					.schedule(() -> context.writeAndFlush(shed), this.responseMilliseconds, TimeUnit.MILLISECONDS);
			}
			case CLOSE -> {
				if (this.responseMilliseconds == 0) {
					context.close();
				}
				else {
					context.executor()
						.schedule(() -> context.close(), this.responseMilliseconds, TimeUnit.MILLISECONDS);
				}
			}
			case SILENT -> {
			}
		}
	}

	private void answer(ChannelHandlerContext context, String id) {
		FullHttpResponse response = response(id, HttpResponseStatus.OK, true);
		if (this.responseMilliseconds == 0) {
			context.writeAndFlush(response);
		}
		else {
			context.executor()
				.schedule(() -> context.writeAndFlush(response), this.responseMilliseconds, TimeUnit.MILLISECONDS);
		}
	}

	private FullHttpResponse response(String id, HttpResponseStatus status, boolean signed) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(this.body));
		response.headers().set("Id", id);
		response.headers().set("Content-Type", "application/octet-stream");
		if (signed) {
			response.headers().set("Signature", this.instance);
		}
		if (this.rateLimit != null) {
			response.headers().set("Rate-Limit", this.rateLimit);
		}
		if (this.leaving) {
			response.headers().set("Leaving", "1");
		}
		HttpUtil.setContentLength(response, this.body.length);
		return response;
	}

	enum Behaviour {

		ANSWER, SHED, CLOSE, SILENT

	}

}
