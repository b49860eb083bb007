package org.wasabicart.mesh;

import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

import org.wasabicart.core.mesh.RateLimit;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a limit that ends without a statement of the server.
 */
class BackendMessagesTests {

	private final BackendMessages messages = new BackendMessages(TestHeaders.NAMES);

	private final HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);

	private BackendNotice notice() {
		return this.messages.notice(new BackendResponse(this.head, new byte[0]));
	}

	@Test
	void namedLimitIsRead() {
		this.head.headers().set("Rate-Limit", "12.5");
		assertThat(notice().rateLimit()).contains(new RateLimit(12.5));
	}

	@Test
	void signedResponseWithoutALimitEndsIt() {
		this.head.headers().set("Signature", "s");
		assertThat(notice().rateLimit()).contains(RateLimit.NONE);
	}

	@Test
	void refusalWithoutALimitDoesNotEndIt() {
		this.head.headers().set("Not-Run", "1");
		assertThat(notice().rateLimit()).isEqualTo(Optional.empty());
	}

	@Test
	void unreadableLimitDoesNotEndIt() {
		this.head.headers().set("Signature", "s").set("Rate-Limit", "-3");
		assertThat(notice().rateLimit()).isEqualTo(Optional.empty());
		this.head.headers().set("Rate-Limit", "many");
		assertThat(notice().rateLimit()).isEqualTo(Optional.empty());
	}

	@Test
	void refusalMayStateThatTheServerLeaves() {
		this.head.headers().set("Not-Run", "1").set("Leaving", "1");
		assertThat(notice().leaving()).isTrue();
	}

}
