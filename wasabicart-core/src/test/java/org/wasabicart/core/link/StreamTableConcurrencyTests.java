package org.wasabicart.core.link;

import java.util.List;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream that ends twice, or a number that is used twice, when several
 * threads use one table.
 */
@Param(name = "stream", gen = IntGen.class, conf = "1:3")
public class StreamTableConcurrencyTests {

	private static final long EPOCH = 9;

	private final StreamTable<String> table = new StreamTable<>(EPOCH, 2);

	@Operation
	public long open(@Param(name = "stream") int value) {
		return this.table.open("value-" + value).orElse(-1);
	}

	@Operation
	public StreamAcceptance accept(@Param(name = "stream") int stream) {
		return this.table.accept(EPOCH, stream, "value-" + stream);
	}

	@Operation
	public String get(@Param(name = "stream") int stream) {
		return this.table.get(EPOCH, stream).orElse("");
	}

	@Operation
	public String remove(@Param(name = "stream") int stream) {
		return this.table.remove(EPOCH, stream).orElse("");
	}

	@Operation
	public List<String> close() {
		return this.table.close();
	}

	@Operation
	public int size() {
		return this.table.size();
	}

	@Test
	void operationsAreLinearizableUnderModelChecking() {
		new ModelCheckingOptions().iterations(15).invocationsPerIteration(300).check(getClass());
	}

	@Test
	void operationsAreLinearizableUnderStress() {
		new StressOptions().iterations(15).invocationsPerIteration(1000).check(getClass());
	}

}
