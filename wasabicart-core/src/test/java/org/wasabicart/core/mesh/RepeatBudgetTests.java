package org.wasabicart.core.mesh;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against repeats that multiply while a service fails.
 */
class RepeatBudgetTests {

	@Test
	void repeatsStayWithinTheEarnedShare() {
		RepeatBudget budget = new RepeatBudget(0.1, 3);
		int repeats = 0;
		for (int i = 0; i < 1000; i++) {
			budget.earn();
			repeats += budget.spend() ? 1 : 0;
		}
		assertThat(repeats).isBetween(95, 101);
	}

	@Test
	void savedRepeatsAreBounded() {
		RepeatBudget budget = new RepeatBudget(0.1, 3);
		for (int i = 0; i < 1000; i++) {
			budget.earn();
		}
		int repeats = 0;
		while (budget.spend()) {
			repeats++;
		}
		assertThat(repeats).isEqualTo(3);
	}

}
