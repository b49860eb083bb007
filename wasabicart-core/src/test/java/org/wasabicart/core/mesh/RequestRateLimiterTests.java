package org.wasabicart.core.mesh;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more requests than a changing limit allows, and against a limit that
 * stays in effect after it has ended.
 */
class RequestRateLimiterTests {

	private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

	private final RequestRateLimiter limiter = new RequestRateLimiter();

	private long now = -5 * MILLISECOND;

	@BeforeEach
	void limit() {
		this.limiter.limit(new RateLimit(100), this.now);
	}

	private int acquireDuring(long milliseconds) {
		int acquired = 0;
		for (int i = 0; i < milliseconds; i++) {
			this.now += MILLISECOND;
			while (this.limiter.limit().limited() && this.limiter.tryAcquire(this.now)) {
				acquired++;
			}
		}
		return acquired;
	}

	@Test
	void requestsAreAdmittedAtTheLimitedRate() {
		assertThat(acquireDuring(4000)).isBetween(395, 401);
	}

	@Test
	void pauseAllowsOnlyAShortBurst() {
		acquireDuring(1000);
		this.now += 10_000 * MILLISECOND;
		assertThat(acquireDuring(1)).isEqualTo(10);
	}

	@Test
	void lowerLimitTakesEffectImmediately() {
		acquireDuring(1000);
		this.now += 1000 * MILLISECOND;
		this.limiter.limit(new RateLimit(10), this.now);
		assertThat(acquireDuring(1000)).isLessThanOrEqualTo(11);
	}

	@Test
	void limitOfZeroStillAdmitsProbes() {
		this.limiter.limit(new RateLimit(0), this.now);
		assertThat(acquireDuring(4000)).isBetween(2, 3);
	}

	@Test
	void endOfTheLimitTakesEffectImmediately() {
		acquireDuring(10);
		this.limiter.limit(RateLimit.NONE, this.now);
		assertThat(this.limiter.tryAcquire(this.now)).isTrue();
		assertThat(this.limiter.delay(1000, this.now)).isZero();
	}

	@Test
	void delayIsTheTimeUntilTheRequestIsAdmitted() {
		acquireDuring(1000);
		long delay = this.limiter.delay(3, this.now);
		assertThat(delay).isBetween(20 * MILLISECOND, 30 * MILLISECOND);
		this.now += delay;
		assertThat(this.limiter.tryAcquire(this.now)).isTrue();
		assertThat(this.limiter.tryAcquire(this.now)).isTrue();
		assertThat(this.limiter.tryAcquire(this.now)).isTrue();
	}

}
