package org.wasabicart.mesh;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.wasabicart.core.mesh.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that cost more memory than is counted, against heads without an
 * end, and against the refusal of requests within the limits.
 */
class EntryRequestDecoderTests {

	private static final CallerLimits LIMITS = CallerLimits.DEFAULT;

	private static final EntryBounds BOUNDS = EntryBounds.DEFAULT;

	private static final int MAXIMUM_BODY_BYTES = 100_000;

	private static final long MEMORY_LIMIT = 1_000_000;

	private static final String START = "GET /s HTTP/1.1\r\n";

	private static final String CHUNKED = "POST /s HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

	private final HeldMemory memory = new HeldMemory(MEMORY_LIMIT, Runnable::run);

	private final EntryRequestDecoder decoder = new EntryRequestDecoder(() -> LIMITS, BOUNDS, this.memory);

	private final EmbeddedChannel channel = channel(this.decoder);

	private EmbeddedChannel channel(EntryRequestDecoder head) {
		return new EmbeddedChannel(head, new EntryRequestCollector(MAXIMUM_BODY_BYTES, this.memory, () -> false));
	}

	private void receive(String text) {
		receive(this.channel, text, text.length());
	}

	private static void receive(EmbeddedChannel target, String text, int pieceBytes) {
		for (int start = 0; start < text.length(); start += pieceBytes) {
			target.writeInbound(Unpooled.copiedBuffer(
					text.substring(start, Math.min(text.length(), start + pieceBytes)), StandardCharsets.US_ASCII));
		}
	}

	private RequestRejection.Reason rejection() {
		return rejection(this.channel);
	}

	private static RequestRejection.Reason rejection(EmbeddedChannel target) {
		FullHttpRequest request = target.readInbound();
		return ((RequestRejection) request.decoderResult().cause()).reason();
	}

	@AfterEach
	void nothingIsHeldAfterTheEnd() {
		this.channel.close();
		assertThat(this.memory.held()).isZero();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 7, 16 * 1024 })
	void headsOfTheLargestSizeAreRead(int pieceBytes) {
		int room = LIMITS.headerBytes() - START.length() - 2;
		receive(this.channel, START + "a:\r\n".repeat(room / 4) + "\r\n", pieceBytes);
		receive(this.channel, START + "a: " + "x".repeat(room - 5) + "\r\n\r\n", pieceBytes);
		receive(this.channel, "GET /" + "x".repeat(LIMITS.headerBytes() - 20) + " HTTP/1.1\r\n\r\n", pieceBytes);
		for (int i = 0; i < 3; i++) {
			FullHttpRequest request = this.channel.readInbound();
			assertThat(request.decoderResult().isSuccess()).isTrue();
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 7, 16 * 1024 })
	void bodiesAndPipelinedRequestsAreRead(int pieceBytes) {
		receive(this.channel,
				"\r\n" + CHUNKED + "3;extension=1\r\nsec\r\n3\r\nond\r\n0\r\nTrailer: a\r\n\r\n"
						+ "POST /b HTTP/1.1\r\nContent-Length: 5\r\n\r\nfirst\r\n" + START + "Host: h\r\n\r\n",
				pieceBytes);
		for (String body : new String[] { "second", "first", "" }) {
			FullHttpRequest request = this.channel.readInbound();
			assertThat(request.content().toString(StandardCharsets.US_ASCII)).isEqualTo(body);
		}
		assertThat(this.memory.held()).isZero();
	}

	/**
	 * Guards against a small limit of the head that is applied to the body behind it, or
	 * to pipelined requests.
	 */
	@Test
	void smallLimitOfTheHeadDoesNotApplyToBodies() {
		CallerLimits small = new CallerLimits(100, 100_000, Duration.ofSeconds(3), Duration.ofSeconds(15));
		EntryBounds none = new EntryBounds(0, 10, 0, Duration.ZERO, 10);
		EmbeddedChannel target = channel(new EntryRequestDecoder(() -> small, none, this.memory));
		String body = "x".repeat(5000);
		String text = "POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + body + CHUNKED
				+ ("1388\r\n" + body + "\r\n").repeat(2) + "0\r\n\r\n" + (START + "\r\n").repeat(50);
		receive(target, text, text.length());
		assertThat(target.inboundMessages()).hasSize(52)
			.allMatch((request) -> ((FullHttpRequest) request).decoderResult().isSuccess());
		receive(target, START + "a: " + "x".repeat(100) + "\r\n\r\n", 200);
		target.inboundMessages().removeIf((request) -> ((FullHttpRequest) request).decoderResult().isSuccess());
		assertThat(rejection(target)).isEqualTo(RequestRejection.Reason.HEAD_BYTES);
		target.close();
	}

	@Test
	void requestIsRejectedInItsBodyOnce() {
		receive(CHUNKED + "1\r\nx\r\n1;" + "x".repeat(30_000));
		assertThat(rejection()).isEqualTo(RequestRejection.Reason.CHUNK_LINE);
		receive("x".repeat(30_000));
		assertThat(this.channel.inboundMessages()).isEmpty();
	}

	@Test
	void headOverTheLimitIsRejectedAndTheRestIsSkipped() {
		receive(START + "a: " + "x".repeat(30_000));
		assertThat(rejection()).isEqualTo(RequestRejection.Reason.HEAD_BYTES);
		receive("x".repeat(30_000) + "\r\n\r\n" + START + "\r\n");
		assertThat(this.channel.inboundMessages()).isEmpty();
		assertThat(this.memory.held()).isZero();
	}

	@Test
	void completeHeadOverTheLimitIsRejected() {
		receive(START + "a: " + "x".repeat(25_000) + "\r\n\r\n");
		assertThat(rejection()).isEqualTo(RequestRejection.Reason.HEAD_BYTES);
	}

	@Test
	void tooManyLinesAreRejected() {
		receive(START + "a:\r\n".repeat(BOUNDS.headLines() + 2));
		assertThat(rejection()).isEqualTo(RequestRejection.Reason.HEAD_LINES);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 100, 5000 })
	void blankLinesAreRejected(int pieceBytes) {
		receive(START + "\r\n");
		FullHttpRequest request = this.channel.readInbound();
		assertThat(request.decoderResult().isSuccess()).isTrue();
		receive(this.channel, "\r\n".repeat(600), pieceBytes);
		assertThat(rejection()).isEqualTo(RequestRejection.Reason.LEADING_BYTES);
	}

	@Test
	void chunkLineWithoutEndIsRejected() {
		receive(CHUNKED + "1;" + "x".repeat(30_000));
		assertThat(rejection()).isEqualTo(RequestRejection.Reason.CHUNK_LINE);
	}

	@Test
	void trailerWithoutEndIsRejected() {
		receive(this.channel, CHUNKED + "0\r\n" + "a:b\r\n".repeat(10_000), 1000);
		assertThat(rejection()).isIn(RequestRejection.Reason.HEAD_BYTES, RequestRejection.Reason.HEAD_LINES);
	}

	@Test
	void headIsRejectedInTheSecondCheckThatFindsItLate() {
		long now = System.nanoTime();
		long late = LIMITS.headerTimeout().plus(BOUNDS.headTimeRoom()).plus(Duration.ofSeconds(1)).toNanos();
		receive(START);
		this.decoder.rejectLateHead(now + LIMITS.headerTimeout().toNanos());
		this.decoder.rejectLateHead(now + late);
		assertThat(this.channel.inboundMessages()).isEmpty();
		receive("a");
		this.decoder.rejectLateHead(now + late + 1);
		assertThat(rejection()).isEqualTo(RequestRejection.Reason.HEAD_TIME);
	}

	@Test
	void idleConnectionIsNotLate() {
		receive(START + "\r\n");
		this.channel.releaseInbound();
		receive("\r\n");
		for (int i = 1; i < 5; i++) {
			this.decoder.rejectLateHead(System.nanoTime() + Duration.ofMinutes(i).toNanos());
		}
		assertThat(this.channel.inboundMessages()).isEmpty();
	}

	/**
	 * Guards against an account of the bytes on the wire, of which short lines have few,
	 * and against rejecting a caller that holds less than another one.
	 */
	@Test
	void headThatCostsMostIsRejectedWhenMemoryIsShort() {
		EmbeddedChannel second = channel(new EntryRequestDecoder(() -> LIMITS, BOUNDS, this.memory));
		EmbeddedChannel third = channel(new EntryRequestDecoder(() -> LIMITS, BOUNDS, this.memory));
		receive(second, START + "a:\r\n".repeat(3800), 1000);
		receive(START + "a:\r\n".repeat(3000));
		assertThat(this.memory.held()).isGreaterThan(6800 * 100);
		receive(third, START + "a:\r\n".repeat(2000), 1000);
		assertThat(rejection(second)).isEqualTo(RequestRejection.Reason.MEMORY);
		assertThat(this.channel.inboundMessages()).isEmpty();
		assertThat(third.inboundMessages()).isEmpty();
		third.close();
		second.close();
	}

	@Test
	void headIsHeldUntilItsBodyIsComplete() {
		receive("POST /b HTTP/1.1\r\nContent-Length: 5\r\n" + "a:\r\n".repeat(1000) + "\r\nfir");
		assertThat(this.memory.held()).isGreaterThan(100_000);
		receive("st");
		assertThat(this.memory.held()).isZero();
	}

	/**
	 * Guards against heads that are counted only once their body begins.
	 */
	@Test
	void headIsHeldBeforeItsBodyBegins() {
		receive("POST /b HTTP/1.1\r\nContent-Length: 5\r\n" + "a:\r\n".repeat(1000) + "\r\n");
		assertThat(this.memory.held()).isGreaterThan(100_000);
		receive("first");
		assertThat(this.memory.held()).isZero();
	}

	/**
	 * Guards against complete heads that fill the heap in one turn of the event loop.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "f" })
	void requestsWithIncompleteBodiesAreRefusedAtOnceWhenMemoryIsShort(String body) {
		HeldMemory account = new HeldMemory(MEMORY_LIMIT, (task) -> {
		});
		List<EmbeddedChannel> channels = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			EmbeddedChannel target = new EmbeddedChannel(new EntryRequestDecoder(() -> LIMITS, BOUNDS, account),
					new EntryRequestCollector(MAXIMUM_BODY_BYTES, account, () -> false));
			channels.add(target);
			String text = "POST /b HTTP/1.1\r\nContent-Length: 5\r\n" + "a:\r\n".repeat(4000) + "\r\n" + body;
			receive(target, text, text.length());
		}
		assertThat(account.held()).isLessThanOrEqualTo(MEMORY_LIMIT);
		assertThat(channels).filteredOn((target) -> !target.inboundMessages().isEmpty())
			.hasSize(4)
			.allMatch((target) -> rejection(target) == RequestRejection.Reason.MEMORY);
		channels.forEach(EmbeddedChannel::close);
		assertThat(account.held()).isZero();
	}

	/**
	 * Guards against read buffers of 16 KB that are retained for a few bytes.
	 */
	@Test
	void incompleteHeadBehindABodyDoesNotRetainItsReadBuffer() {
		receive("POST /b HTTP/1.1\r\nContent-Length: 10\r\n\r\n");
		ByteBuf part = Unpooled.directBuffer(16 * 1024).writeBytes("first".getBytes(StandardCharsets.US_ASCII));
		this.channel.writeInbound(part);
		assertThat(part.refCnt()).isZero();
		ByteBuf rest = Unpooled.directBuffer(16 * 1024).writeBytes("-partG".getBytes(StandardCharsets.US_ASCII));
		this.channel.writeInbound(rest);
		assertThat(rest.refCnt()).isZero();
		receive("ET /c HTTP/1.1\r\n\r\n");
		FullHttpRequest request = this.channel.readInbound();
		assertThat(request.content().toString(StandardCharsets.US_ASCII)).isEqualTo("first-part");
		FullHttpRequest second = this.channel.readInbound();
		assertThat(second.uri()).isEqualTo("/c");
	}

	/**
	 * Guards against an exception that closes the connection in place of an answer.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "abc", "99999999999999999999", "5, 6", "-1" })
	void malformedLengthIsRejected(String length) {
		receive("POST /b HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\n");
		FullHttpRequest request = this.channel.readInbound();
		assertThat(request.decoderResult().isFailure()).isTrue();
		assertThat(this.channel.inboundMessages()).isEmpty();
	}

	/**
	 * Guards against parts of a line break that are passed on to servers as a part of a
	 * line.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "GET /a\rb HTTP/1.1\r\n", "G\rET /a HTTP/1.1\r\n", "GET /a\u0000 HTTP/1.1\r\n",
			"GET /a HTTP/1.1\r\nA: b\rc\r\n", "GET /a HTTP/1.1\r\nA\rB: c\r\n", "GET /a HTTP/1.1\r\nA: b\u0000c\r\n" })
	void partOfALineBreakWithinALineIsRejected(String head) {
		receive(head + "\r\n");
		FullHttpRequest request = this.channel.readInbound();
		assertThat(request.decoderResult().isFailure()).isTrue();
		assertThat(this.channel.inboundMessages()).isEmpty();
	}

	/**
	 * Guards against a bound on lines that refuses heads within a larger limit of the
	 * configuration.
	 */
	@Test
	void boundOnLinesFollowsALargerLimitOfTheHead() {
		CallerLimits large = new CallerLimits(65_536, 100_000, Duration.ofSeconds(3), Duration.ofSeconds(15));
		HeldMemory account = new HeldMemory(16 * MEMORY_LIMIT, Runnable::run);
		EmbeddedChannel target = new EmbeddedChannel(new EntryRequestDecoder(() -> large, BOUNDS, account),
				new EntryRequestCollector(MAXIMUM_BODY_BYTES, account, () -> false));
		String text = START + "a:\r\n".repeat((large.headerBytes() - START.length() - 2) / 4) + "\r\n";
		receive(target, text, 5000);
		FullHttpRequest request = target.readInbound();
		assertThat(request.decoderResult().isSuccess()).isTrue();
		target.close();
	}

}
