package org.wasabicart.mesh;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against results that are valid in another era of the store than their call.
 */
class EraCheckedStoreTests {

	private static final Duration WAIT = Duration.ofSeconds(1);

	private final FakeMeshStore store = new FakeMeshStore();

	private final List<String> eras = new ArrayList<>();

	private final EraCheckedStore checked = new EraCheckedStore(this.store,
			(era, restored) -> this.eras.add(era + " " + restored));

	private static MeshStoreException.Kind failure(CompletableFuture<?> call) {
		Throwable cause = catchThrowableOfType(CompletionException.class, call::join).getCause();
		return ((MeshStoreException) cause).kind();
	}

	@Test
	void kindOfAFailureIsKept() {
		CompletableFuture<?> call = this.checked.watch("p", new StorePosition(new StoreEra(1), 99), WAIT);
		Throwable[] failure = new Throwable[1];
		call.whenComplete((items, cause) -> failure[0] = cause);
		assertThat(failure[0]).isInstanceOf(MeshStoreException.class);
		assertThat(failure(call)).isEqualTo(MeshStoreException.Kind.HISTORY_LOST);
	}

	@Test
	void watchFromAPositionOfAnEarlierEraFails() {
		StorePosition position = this.checked.list("p").join().position();
		this.store.restore(this.store.copy());
		this.store.put("p/new", new byte[1]);
		assertThat(failure(this.checked.watch("p", position, WAIT))).isEqualTo(MeshStoreException.Kind.RESTORED);
	}

	@Test
	void renewalOfALeaseOfAnEarlierEraFailsThoughTheIdExists() {
		StoreLease lease = this.checked.grantLease(WAIT).join();
		this.store.restore(this.store.copy());
		assertThat(failure(this.checked.renewLease(lease))).isEqualTo(MeshStoreException.Kind.RESTORED);
		assertThat(this.eras).containsExactly("1 false", "2 true");
	}

	@Test
	void writeUnderALeaseOfAnEarlierEraFails() {
		StoreLease lease = this.checked.grantLease(WAIT).join();
		this.store.restore(this.store.copy());
		this.checked.get("k");
		int calls = this.store.calls.size();
		assertThat(failure(this.checked.write("k", new StorePosition(lease.era(), 0), new byte[1], lease)))
			.isEqualTo(MeshStoreException.Kind.RESTORED);
		assertThat(this.store.calls).hasSize(calls);
	}

	@Test
	void responseThatTheStoreSentBeforeItsReturnIsRejected() {
		this.store.delayNextGet = true;
		CompletableFuture<MeshStore.StoredItem> late = this.checked.get("k");
		this.store.restore(this.store.copy());
		this.checked.get("k");
		this.store.completeDelayedGet();
		assertThat(failure(late)).isEqualTo(MeshStoreException.Kind.RESTORED);
	}

}
