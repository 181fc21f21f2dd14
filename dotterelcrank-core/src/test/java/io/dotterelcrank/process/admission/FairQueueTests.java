package io.dotterelcrank.process.admission;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import io.dotterelcrank.request.Priority;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link FairQueue}.
 */
class FairQueueTests {

	private final FairQueue queue = FairQueue.create();

	private int number;

	private PendingRequest add(String workspace, Priority priority) {
		PendingRequest candidate = new PendingRequest("r" + this.number++, workspace, priority, 10, 100, 0);
		this.queue.add(candidate, 1_000);
		return candidate;
	}

	@Test
	void higherPriorityComesFirst() {
		add("a", Priority.LOW);
		PendingRequest high = add("a", Priority.HIGH);
		add("a", Priority.NORMAL);
		assertThat(this.queue.next()).contains(high);
	}

	@Test
	void aFloodingWorkspaceDoesNotDelayAnother() {
		for (int i = 0; i < 50; i++) {
			add("flood", Priority.NORMAL);
		}
		for (int i = 0; i < 5; i++) {
			add("small", Priority.NORMAL);
		}
		Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 10; i++) {
			PendingRequest next = this.queue.next().orElseThrow();
			served.merge(next.workspace(), 1, Integer::sum);
			this.queue.admitted(next, 100, (workspace) -> 100);
		}
		assertThat(served).containsEntry("small", 5);
	}

	@Test
	void weightsDivideTheService() {
		Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 60; i++) {
			add("heavy", Priority.NORMAL);
			add("light", Priority.NORMAL);
		}
		for (int i = 0; i < 40; i++) {
			PendingRequest next = this.queue.next().orElseThrow();
			served.merge(next.workspace(), 1, Integer::sum);
			this.queue.admitted(next, 100, (workspace) -> workspace.equals("heavy") ? 300 : 100);
		}
		assertThat(served.get("heavy")).isBetween(28, 32);
	}

	@Test
	void shedsTheNewestOfTheLongestLineOfTheLowestPriority() {
		add("a", Priority.HIGH);
		add("small", Priority.NORMAL);
		add("flood", Priority.NORMAL);
		PendingRequest newest = add("flood", Priority.NORMAL);
		assertThat(this.queue.last()).contains(newest);
		PendingRequest low = add("small", Priority.LOW);
		assertThat(this.queue.last()).contains(low);
	}

	@Test
	void expiresWhatWaitedTooLong() {
		PendingRequest candidate = add("a", Priority.NORMAL);
		assertThat(this.queue.expire(999)).isEmpty();
		assertThat(this.queue.expire(1_000)).containsExactly(candidate);
	}

}
