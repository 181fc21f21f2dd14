package io.dotterelcrank.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.standin.service.ServiceFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a call that waits at its target neither runs nor holds a slot once the
 * session of its entry process has ended, if the entry process abandons it then.
 */
class CallOfLostSessionTests {

	/** More calls than a service runs at a time. */
	private static final int MAX_OCCUPYING_CALLS = 200;

	private final VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());

	@BeforeEach
	void start() {
		this.fleet.addService("service-1", "a");
		this.fleet.addEntry("entry-1", "a");
		this.fleet.addEntry("entry-2", "a");
		this.fleet.advance(5_000);
	}

	private void call(String entry, String method, String body, long deadlineMillis) {
		this.fleet.entries()
			.get(entry)
			.entry()
			.call(new ServiceCall("", "w", VirtualFleet.SERVICE, Priority.NORMAL, "", method, "/bookings", List.of(),
					body.getBytes(StandardCharsets.UTF_8), deadlineMillis), new TestServiceCaller());
	}

	private void killEntryWhileItsCallWaits(String method) {
		this.fleet.services().get("service-1").injectFault(ServiceFault.NO_ANSWER);
		for (int i = 0; i < MAX_OCCUPYING_CALLS && this.fleet.dump("service-1").waiting() == 0; i++) {
			call("entry-1", "GET", "present", 300);
			this.fleet.advance(1);
		}
		this.fleet.services().get("service-1").injectFault(ServiceFault.NONE);
		call("entry-2", method, "absent", 60_000);
		this.fleet.advance(3);
		assertThat(this.fleet.dump("service-1").waiting()).isGreaterThan(1);
		assertThat(this.fleet.runCount("absent")).isZero();
		this.fleet.entries().get("entry-2").process().kill();
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET", "POST" })
	void callDoesNotRunAndHoldsNoSlot(String method) {
		killEntryWhileItsCallWaits(method);
		this.fleet.advance(2_000);
		assertThat(this.fleet.runCount("present")).isPositive();
		assertThat(this.fleet.runCount("absent")).isZero();
		assertThat(this.fleet.dump("service-1").open()).isZero();
	}

}
