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

	private int nextNumber;

	private PendingRequest add(String workspace, Priority priority) {
		PendingRequest request = new PendingRequest("r" + this.nextNumber++, workspace, priority, 10, 100, 0);
		this.queue.add(request, 1_000);
		return request;
	}

	@Test
	void higherPriorityIsAdmittedFirst() {
		add("a", Priority.LOW);
		PendingRequest high = add("a", Priority.HIGH);
		add("a", Priority.NORMAL);
		assertThat(this.queue.nextToAdmit()).contains(high);
	}

	@Test
	void floodingWorkspaceDoesNotDelayOthers() {
		for (int i = 0; i < 50; i++) {
			add("flood", Priority.NORMAL);
		}
		for (int i = 0; i < 5; i++) {
			add("small", Priority.NORMAL);
		}
		Map<String, Integer> admittedByWorkspace = new HashMap<>();
		for (int i = 0; i < 10; i++) {
			PendingRequest next = this.queue.nextToAdmit().orElseThrow();
			admittedByWorkspace.merge(next.workspace(), 1, Integer::sum);
			this.queue.recordAdmission(next, 100, (workspace) -> 100);
		}
		assertThat(admittedByWorkspace).containsEntry("small", 5);
	}

	@Test
	void admissionsAreProportionalToWeights() {
		Map<String, Integer> admittedByWorkspace = new HashMap<>();
		for (int i = 0; i < 60; i++) {
			add("heavy", Priority.NORMAL);
			add("light", Priority.NORMAL);
		}
		for (int i = 0; i < 40; i++) {
			PendingRequest next = this.queue.nextToAdmit().orElseThrow();
			admittedByWorkspace.merge(next.workspace(), 1, Integer::sum);
			this.queue.recordAdmission(next, 100, (workspace) -> workspace.equals("heavy") ? 300 : 100);
		}
		assertThat(admittedByWorkspace.get("heavy")).isBetween(28, 32);
	}

	@Test
	void shedsNewestOfLowestPriorityInWorkspaceWithMostWaiting() {
		add("a", Priority.HIGH);
		add("small", Priority.NORMAL);
		add("flood", Priority.NORMAL);
		PendingRequest newest = add("flood", Priority.NORMAL);
		assertThat(this.queue.nextToShed()).contains(newest);
		PendingRequest low = add("small", Priority.LOW);
		assertThat(this.queue.nextToShed()).contains(low);
	}

	@Test
	void removesExpiredRequests() {
		PendingRequest request = add("a", Priority.NORMAL);
		assertThat(this.queue.removeExpired(999)).isEmpty();
		assertThat(this.queue.removeExpired(1_000)).containsExactly(request);
	}

}
