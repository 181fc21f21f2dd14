package io.dotterelcrank.process.routing;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Property-based tests of {@link RetryBudget}.
 */
class RetryBudgetProperties {

	@Property(tries = 500, seed = "61")
	void grantsAtMostPercentageOfRequestsPlusMaxBalance(@ForAll @Size(max = 500) List<Boolean> events,
			@ForAll @IntRange(max = 100) int percent) {
		RetryBudget budget = RetryBudget.full();
		int requests = 0;
		int granted = 0;
		for (boolean request : events) {
			if (request) {
				budget.recordRequest(percent);
				requests++;
			}
			else if (budget.tryAcquire()) {
				granted++;
			}
			assertThat((double) granted)
				.isLessThanOrEqualTo(RetryBudget.MAX_BALANCE + requests * percent / 100.0 + 1e-6);
		}
	}

}
