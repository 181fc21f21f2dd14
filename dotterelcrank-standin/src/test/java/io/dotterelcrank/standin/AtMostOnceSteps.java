package io.dotterelcrank.standin;

import java.util.function.Predicate;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import io.dotterelcrank.connection.Message;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.standin.fleet.VirtualFleet;
import io.dotterelcrank.standin.platform.LogFault;
import io.dotterelcrank.standin.service.ServiceFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Steps of at_most_once.feature.
 */
public class AtMostOnceSteps {

	private static final String BOOKING = "seat-7";

	private static final long DEADLINE_MILLIS = 8_000;

	private static final long LONG_MILLIS = 40_000;

	private final VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Plan.defaults());

	private final TestFleet callers = new TestFleet(this.fleet);

	private TestCallCaller caller;

	private TestCallCaller second;

	private boolean entryKilled;

	private boolean stalled;

	@Given("a fleet with two services")
	public void fleetWithTwoServices() {
		this.fleet.addService("desk-1", "ist-a");
		this.fleet.addService("desk-2", "ist-b");
		this.fleet.addEntry("entry-1", "ist-a");
		this.fleet.addEntry("entry-2", "ist-b");
		this.fleet.advance(10_000);
	}

	@When("a(n) {word} call meets the fault {string}")
	public void callMeetsFault(String kind, String fault) {
		switchOn(fault);
		this.caller = call("entry-1", kind, BOOKING);
		this.fleet.advance(LONG_MILLIS);
	}

	private TestCallCaller call(String entry, String kind, String body) {
		return switch (kind) {
			case "idempotent" -> this.callers.call(entry, "PUT", "", body, DEADLINE_MILLIS);
			case "keyed" -> this.callers.call(entry, "POST", "key-7", body, DEADLINE_MILLIS);
			default -> this.callers.call(entry, "POST", "", body, DEADLINE_MILLIS);
		};
	}

	private void switchOn(String fault) {
		Predicate<Message> invocation = Message.Invoke.class::isInstance;
		switch (fault) {
			case "none" -> {
			}
			case "target refuses the connection" -> serviceFault(ServiceFault.REFUSE_CONNECTION);
			case "target breaks before it runs" -> serviceFault(ServiceFault.BREAK_BEFORE_RUN);
			case "target breaks after it ran" -> serviceFault(ServiceFault.BREAK_AFTER_RUN);
			case "target breaks mid-answer" -> serviceFault(ServiceFault.BREAK_MID_ANSWER);
			case "target never answers" -> serviceFault(ServiceFault.NO_ANSWER);
			case "link cut before the call" -> this.fleet.network().breakConnectionBefore(invocation);
			case "link cut after the call" -> this.fleet.network().breakConnectionAfter(invocation);
			case "link cut before the reservation" ->
				this.fleet.network().breakConnectionBefore(Message.Reserve.class::isInstance);
			case "answer lost between sidecar and entry" ->
				this.fleet.network().breakConnectionBefore(Message.CallResponse.class::isInstance);
			case "link stalled" -> this.fleet.network().breakConnectionAfter(this::stallBoth);
			case "sidecar killed before the call" ->
				this.fleet.network().breakConnectionBefore((message) -> killOn(message, invocation, false));
			case "sidecar killed after the call" ->
				this.fleet.network().breakConnectionAfter((message) -> killOn(message, invocation, false));
			case "sidecar replaced after the call" ->
				this.fleet.network().breakConnectionAfter((message) -> killOn(message, invocation, true));
			case "entry killed after the call" -> this.fleet.network().breakConnectionAfter(this::killEntryOn);
			case "log down" -> this.fleet.log().injectFault(LogFault.DOWN);
			case "log answers lost" -> this.fleet.log().injectFault(LogFault.LOSE_ANSWERS);
			case "log appends late" -> this.fleet.log().injectFault(LogFault.LATE_APPENDS);
			default -> throw new IllegalArgumentException(fault);
		}
	}

	private void serviceFault(ServiceFault fault) {
		this.fleet.services().values().forEach((service) -> service.injectFault(fault));
	}

	private boolean stallBoth(Message message) {
		if (message instanceof Message.Invoke && !this.stalled) {
			this.stalled = true;
			this.fleet.sidecars()
				.values()
				.forEach((sidecar) -> this.fleet.network().stallOpenConnections(sidecar.port()));
			this.fleet.scheduler()
				.schedule(20_000,
						() -> this.fleet.sidecars()
							.values()
							.forEach((sidecar) -> this.fleet.network().endStall(sidecar.port())));
		}
		return false;
	}

	private boolean killOn(Message message, Predicate<Message> when, boolean replace) {
		if (!when.test(message)) {
			return false;
		}
		String target = holderOf(((Message.Invoke) message).call().id());
		this.fleet.scheduler().schedule(replace ? 2 : 0, () -> {
			if (replace) {
				this.fleet.killSidecar(target);
				this.fleet.startSidecar(target, this.fleet.sidecars().get(target).dataCentre());
			}
			else {
				this.fleet.killSidecar(target);
			}
		});
		return true;
	}

	private String holderOf(String attempt) {
		return this.fleet.entries()
			.get("entry-1")
			.entry()
			.targetOf(attempt)
			.orElseThrow(() -> new IllegalStateException("no target has " + attempt));
	}

	private boolean killEntryOn(Message message) {
		if (message instanceof Message.Invoke) {
			this.entryKilled = true;
			this.fleet.scheduler().schedule(0, () -> this.fleet.entries().get("entry-1").process().kill());
		}
		return false;
	}

	@When("the fault ends")
	public void faultEnds() {
		serviceFault(ServiceFault.NONE);
		this.fleet.log().injectFault(LogFault.NONE);
		this.fleet.advance(LONG_MILLIS);
	}

	@When("the same key is sent to another entry host")
	public void sameKeyElsewhere() {
		this.second = call("entry-2", "keyed", BOOKING);
		this.fleet.advance(LONG_MILLIS);
	}

	@When("the same key is sent to both entry hosts at once")
	public void sameKeyAtOnce() {
		this.caller = call("entry-1", "keyed", BOOKING);
		this.second = call("entry-2", "keyed", BOOKING);
		this.fleet.advance(LONG_MILLIS);
	}

	@When("the same key is sent with other content")
	public void sameKeyOtherContent() {
		this.second = call("entry-2", "keyed", "seat-8");
		this.fleet.advance(LONG_MILLIS);
	}

	@When("the claimant is paused until the caller has given up")
	public void claimantPaused() {
		this.fleet.log().injectFault(LogFault.LATE_APPENDS);
		this.caller = call("entry-1", "keyed", BOOKING);
		this.fleet.advance(DEADLINE_MILLIS + 1_000);
		this.fleet.log().injectFault(LogFault.NONE);
		this.fleet.advance(LONG_MILLIS);
	}

	@Then("the booking ran at most {int} times")
	public void ranAtMost(int most) {
		assertThat(this.fleet.runCount(BOOKING)).isLessThanOrEqualTo(most);
	}

	@Then("what the caller heard is true")
	public void callerHeardTruth() {
		if (!this.entryKilled) {
			assertTrue(this.caller);
		}
	}

	@Then("what the second caller heard is true")
	public void secondCallerHeardTruth() {
		assertTrue(this.second);
	}

	private void assertTrue(TestCallCaller heard) {
		int runs = this.fleet.runCount(BOOKING);
		if (heard.reply != null) {
			assertThat(runs).isPositive();
		}
		else if (heard.failure.ran() == Ran.NO && this.second == null) {
			assertThat(runs).as(heard.failure.toString()).isZero();
		}
		else if (heard.failure.ran() == Ran.YES) {
			assertThat(runs).as(heard.failure.toString()).isPositive();
		}
	}

	@Then("the caller heard {string}")
	public void callerHeard(String heard) {
		String said = this.entryKilled ? "nothing" : this.caller.ran();
		assertThat(said).as(String.valueOf(this.caller.failure)).isEqualTo(heard);
	}

	@Then("the caller heard exactly one end")
	public void oneEnd() {
		if (!this.entryKilled) {
			assertThat(this.caller.ends).isEqualTo(1);
		}
	}

	@Then("both callers heard the same answer")
	public void sameAnswer() {
		assertThat(this.caller.body()).isNotEmpty().isEqualTo(this.second.body());
	}

	@Then("the second caller is refused with KEY_REUSED")
	public void keyReused() {
		assertThat(this.second.failure.code()).isEqualTo(ResultCode.KEY_REUSED);
	}

	@Then("the caller is refused with CLAIM_UNCONFIRMED and {string}")
	public void claimUnconfirmed(String ran) {
		assertThat(this.caller.failure.code()).isEqualTo(ResultCode.CLAIM_UNCONFIRMED);
		assertThat(this.caller.ran()).as(this.caller.failure.toString()).isEqualTo(ran);
	}

}
