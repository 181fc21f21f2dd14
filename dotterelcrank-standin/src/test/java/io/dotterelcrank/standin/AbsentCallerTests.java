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
import io.dotterelcrank.standin.service.ServiceFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that nothing is begun for a caller once its entry process has been told that it
 * has left, however late the control thread is.
 */
class AbsentCallerTests {

	/** More calls than a service runs at a time. */
	private static final int MAX_OCCUPYING_CALLS = 200;

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

	private RequestHandle call(String method, String body) {
		return call(method, body, 60_000);
	}

	private RequestHandle call(String method, String body, long deadlineMillis) {
		return entry().call(new ServiceCall("", "w", VirtualFleet.SERVICE, Priority.NORMAL, "", method, "/bookings",
				List.of(), body.getBytes(StandardCharsets.UTF_8), deadlineMillis), new TestServiceCaller());
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET", "POST" })
	void callIsNotSentIfItsCallerLeftBeforeTheControlThreadRan(String method) {
		call(method, "absent").disconnected();
		call(method, "present");
		this.fleet.advance(1_000);
		assertThat(this.fleet.runCount("present")).isEqualTo(1);
		assertThat(this.fleet.runCount("absent")).isZero();
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void generationIsNotSentIfItsCallerLeftBeforeTheControlThreadRan(boolean streaming) {
		entry()
			.generate(new Generation("", "w", VirtualFleet.MODEL, Priority.NORMAL, "[tokens=9]", 3, 9, 60_000),
					new TestGenerationCaller(streaming))
			.disconnected();
		this.fleet.advance(1_000);
		assertThat(this.fleet.dump("engine-1").generations()).isZero();
	}

	@ParameterizedTest
	@ValueSource(strings = { "GET", "POST" })
	void callThatWaitsAtItsTargetIsNotRunOnceItsCallerHasLeft(String method) {
		this.fleet.services().get("service-1").injectFault(ServiceFault.NO_ANSWER);
		for (int i = 0; i < MAX_OCCUPYING_CALLS && this.fleet.dump("service-1").waiting() == 0; i++) {
			call("GET", "present", 300);
			this.fleet.advance(1);
		}
		this.fleet.services().get("service-1").injectFault(ServiceFault.NONE);
		RequestHandle absent = call(method, "absent");
		this.fleet.advance(3);
		assertThat(this.fleet.dump("service-1").waiting()).isGreaterThan(1);
		assertThat(this.fleet.runCount("absent")).isZero();
		absent.disconnected();
		this.fleet.advance(10_000);
		assertThat(this.fleet.runCount("absent")).isZero();
		assertThat(this.fleet.dump("service-1").open()).isZero();
	}

	@Test
	void callIsNotRetriedOnceItsCallerHasLeft() {
		this.fleet.addService("service-2", "a");
		this.fleet.advance(5_000);
		this.fleet.services().values().forEach((service) -> service.injectFault(ServiceFault.REFUSE_CONNECTION));
		RequestHandle absent = call("GET", "absent");
		this.fleet.advance(1);
		absent.disconnected();
		this.fleet.services().values().forEach((service) -> service.injectFault(ServiceFault.NONE));
		this.fleet.advance(1_000);
		assertThat(this.fleet.runCount("absent")).isZero();
	}

}
