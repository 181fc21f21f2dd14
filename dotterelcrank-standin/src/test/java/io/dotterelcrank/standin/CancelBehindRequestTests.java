package io.dotterelcrank.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.process.entry.RequestHandle;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.standin.fleet.VirtualFleet;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a sidecar starts no request whose cancellation has arrived behind it, before
 * its control thread handled the request.
 */
class CancelBehindRequestTests {

	private final VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());

	@BeforeEach
	void start() {
		this.fleet.addEngine("engine-1", "a");
		this.fleet.addService("service-1", "a");
		this.fleet.addEntry("entry-1", "a");
		this.fleet.advance(5_000);
	}

	private EntryProcess entry() {
		return this.fleet.entries().get("entry-1").entry();
	}

	private RequestHandle call(String key, String body) {
		return entry().call(new ServiceCall("", "w", VirtualFleet.SERVICE, Priority.NORMAL, key, "GET", "/bookings",
				List.of(), body.getBytes(StandardCharsets.UTF_8), 60_000), new TestServiceCaller());
	}

	/**
	 * Lets the request be sent, and its cancellation in the same millisecond.
	 */
	private void leaveOnceSent(RequestHandle request) {
		this.fleet.scheduler().runDue();
		request.disconnected();
		this.fleet.scheduler().runDue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "key" })
	void callIsNotRun(String key) {
		leaveOnceSent(call(key, "absent"));
		call(key, "present");
		this.fleet.advance(1_000);
		assertThat(this.fleet.runCount("present")).isEqualTo(1);
		assertThat(this.fleet.runCount("absent")).isZero();
		assertThat(this.fleet.dump("service-1").open()).isZero();
	}

	@Test
	void generationIsNotStarted() {
		leaveOnceSent(entry().generate(
				new Generation("", "w", VirtualFleet.MODEL, Priority.NORMAL, "[tokens=9]", 3, 9, 60_000),
				new TestGenerationCaller(false)));
		this.fleet.advance(1_000);
		assertThat(this.fleet.dump("engine-1").generations()).isZero();
		assertThat(this.fleet.dump("engine-1").open()).isZero();
	}

}
