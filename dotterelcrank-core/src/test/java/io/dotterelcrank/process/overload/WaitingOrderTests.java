package io.dotterelcrank.process.overload;

import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link WaitingOrder}.
 */
class WaitingOrderTests {

	@Test
	void thoseThatCanBeOnTimeComeFirstThenReturnedCallersThenTheOlder() {
		Request late = new Request("late", true, 0, false, 1);
		Request lateReturned = new Request("lateReturned", true, 0, true, 5);
		Request urgent = new Request("urgent", false, 0, false, 9);
		Request onTime = new Request("onTime", false, 1, false, 3);
		Request onTimeOlder = new Request("onTimeOlder", false, 1, false, 2);
		Request onTimeReturned = new Request("onTimeReturned", false, 1, true, 8);
		List<String> order = Stream.of(late, onTime, lateReturned, onTimeReturned, urgent, onTimeOlder)
			.sorted(WaitingOrder.COMPARATOR)
			.map(Request::name)
			.toList();
		assertThat(order).containsExactly("urgent", "onTimeOlder", "onTime", "onTimeReturned", "lateReturned", "late");
	}

	private record Request(String name, boolean late, int priority, boolean returned,
			long arrivedAtMillis) implements WaitingOrder.Candidate {
	}

}
