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

	private static final long SETTLE_MILLIS = 40_000;

	private final VirtualFleet fleet = VirtualFleet.of(VirtualFleet.Options.defaults());

	private final TestRequestSender requestSender = new TestRequestSender(this.fleet);

	private TestServiceCaller caller;

	private TestServiceCaller secondCaller;

	private boolean entryKilled;

	private boolean linksStalled;

	@Given("a fleet with two services")
	public void fleetWithTwoServices() {
		this.fleet.addService("desk-1", "ist-a");
		this.fleet.addService("desk-2", "ist-b");
		this.fleet.addEntry("entry-1", "ist-a");
		this.fleet.addEntry("entry-2", "ist-b");
		this.fleet.advance(10_000);
	}

	@When("a(n) {word} call encounters the fault {string}")
	public void callWithFault(String kind, String fault) {
		injectFault(fault);
		this.caller = sendCall("entry-1", kind, BOOKING);
		this.fleet.advance(SETTLE_MILLIS);
	}

	private TestServiceCaller sendCall(String entry, String kind, String body) {
		return switch (kind) {
			case "idempotent" -> this.requestSender.sendCall(entry, "PUT", "", body, DEADLINE_MILLIS);
			case "keyed" -> this.requestSender.sendCall(entry, "POST", "key-7", body, DEADLINE_MILLIS);
			default -> this.requestSender.sendCall(entry, "POST", "", body, DEADLINE_MILLIS);
		};
	}

	private void injectFault(String fault) {
		Predicate<Message> invocation = Message.Invoke.class::isInstance;
		switch (fault) {
			case "none" -> {
			}
			case "target refuses the connection" -> injectServiceFault(ServiceFault.REFUSE_CONNECTION);
			case "target breaks before it runs" -> injectServiceFault(ServiceFault.BREAK_BEFORE_RUN);
			case "target breaks after it ran" -> injectServiceFault(ServiceFault.BREAK_AFTER_RUN);
			case "target breaks mid-response" -> injectServiceFault(ServiceFault.BREAK_MID_ANSWER);
			case "target never responds" -> injectServiceFault(ServiceFault.NO_ANSWER);
			case "link cut before the call" -> this.fleet.network().breakConnectionBefore(invocation);
			case "link cut after the call" -> this.fleet.network().breakConnectionAfter(invocation);
			case "link cut before the reservation" ->
				this.fleet.network().breakConnectionBefore(Message.Reserve.class::isInstance);
			case "response lost between sidecar and entry" ->
				this.fleet.network().breakConnectionBefore(Message.CallResponse.class::isInstance);
			case "link stalled" -> this.fleet.network().breakConnectionAfter(this::stallLinksOn);
			case "sidecar killed before the call" ->
				this.fleet.network().breakConnectionBefore((message) -> killSidecarOn(message, invocation, false));
			case "sidecar killed after the call" ->
				this.fleet.network().breakConnectionAfter((message) -> killSidecarOn(message, invocation, false));
			case "sidecar replaced after the call" ->
				this.fleet.network().breakConnectionAfter((message) -> killSidecarOn(message, invocation, true));
			case "entry killed after the call" -> this.fleet.network().breakConnectionAfter(this::killEntryOn);
			case "log down" -> this.fleet.log().injectFault(LogFault.DOWN);
			case "log responses lost" -> this.fleet.log().injectFault(LogFault.LOSE_ANSWERS);
			case "log appends late" -> this.fleet.log().injectFault(LogFault.LATE_APPENDS);
			default -> throw new IllegalArgumentException(fault);
		}
	}

	private void injectServiceFault(ServiceFault fault) {
		this.fleet.services().values().forEach((service) -> service.injectFault(fault));
	}

	// Returns false, so that the network does not break the connection itself.
	private boolean stallLinksOn(Message message) {
		if (message instanceof Message.Invoke && !this.linksStalled) {
			this.linksStalled = true;
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

	private boolean killSidecarOn(Message message, Predicate<Message> condition, boolean replace) {
		if (!condition.test(message)) {
			return false;
		}
		String target = targetOf(((Message.Invoke) message).call().id());
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

	private String targetOf(String attempt) {
		return this.fleet.entries()
			.get("entry-1")
			.entry()
			.targetOf(attempt)
			.orElseThrow(() -> new IllegalStateException("no target has attempt " + attempt));
	}

	// Returns false, so that the network does not break the connection itself.
	private boolean killEntryOn(Message message) {
		if (message instanceof Message.Invoke) {
			this.entryKilled = true;
			this.fleet.scheduler().schedule(0, () -> this.fleet.entries().get("entry-1").process().kill());
		}
		return false;
	}

	@When("the fault ends")
	public void faultEnds() {
		injectServiceFault(ServiceFault.NONE);
		this.fleet.log().injectFault(LogFault.NONE);
		this.fleet.advance(SETTLE_MILLIS);
	}

	@When("the same key is sent to another entry host")
	public void sameKeyAtOtherEntryHost() {
		this.secondCaller = sendCall("entry-2", "keyed", BOOKING);
		this.fleet.advance(SETTLE_MILLIS);
	}

	@When("the same key is sent to both entry hosts at once")
	public void sameKeyAtBothEntryHosts() {
		this.caller = sendCall("entry-1", "keyed", BOOKING);
		this.secondCaller = sendCall("entry-2", "keyed", BOOKING);
		this.fleet.advance(SETTLE_MILLIS);
	}

	@When("the same key is sent with a different body")
	public void sameKeyDifferentBody() {
		this.secondCaller = sendCall("entry-2", "keyed", "seat-8");
		this.fleet.advance(SETTLE_MILLIS);
	}

	@When("the append of the claim is delayed past the caller's deadline")
	public void appendsDelayedPastDeadline() {
		this.fleet.log().injectFault(LogFault.LATE_APPENDS);
		this.caller = sendCall("entry-1", "keyed", BOOKING);
		this.fleet.advance(DEADLINE_MILLIS + 1_000);
		this.fleet.log().injectFault(LogFault.NONE);
		this.fleet.advance(SETTLE_MILLIS);
	}

	@Then("the booking ran at most {int} times")
	public void ranAtMost(int maxRuns) {
		assertThat(this.fleet.runCount(BOOKING)).isLessThanOrEqualTo(maxRuns);
	}

	@Then("the caller's result matches the executions")
	public void callerResultMatchesRuns() {
		if (!this.entryKilled) {
			assertResultMatchesRuns(this.caller);
		}
	}

	@Then("the second caller's result matches the executions")
	public void secondCallerResultMatchesRuns() {
		assertResultMatchesRuns(this.secondCaller);
	}

	private void assertResultMatchesRuns(TestServiceCaller checkedCaller) {
		int runs = this.fleet.runCount(BOOKING);
		if (checkedCaller.response != null) {
			assertThat(runs).isPositive();
		}
		else if (checkedCaller.failure.ran() == Ran.NO && this.secondCaller == null) {
			assertThat(runs).as(checkedCaller.failure.toString()).isZero();
		}
		else if (checkedCaller.failure.ran() == Ran.YES) {
			assertThat(runs).as(checkedCaller.failure.toString()).isPositive();
		}
	}

	@Then("the caller's result is {string}")
	public void callerOutcome(String expected) {
		String actual = this.entryKilled ? "nothing" : this.caller.outcome();
		assertThat(actual).as(String.valueOf(this.caller.failure)).isEqualTo(expected);
	}

	@Then("the caller received exactly one result")
	public void exactlyOneResult() {
		if (!this.entryKilled) {
			assertThat(this.caller.resultCount).isEqualTo(1);
		}
	}

	@Then("both callers received the same response")
	public void sameResponse() {
		assertThat(this.caller.body()).isNotEmpty().isEqualTo(this.secondCaller.body());
	}

	@Then("the second call is refused with KEY_REUSED")
	public void keyReused() {
		assertThat(this.secondCaller.failure.code()).isEqualTo(ResultCode.KEY_REUSED);
	}

	@Then("the call is refused with CLAIM_UNCONFIRMED and ran {string}")
	public void claimUnconfirmed(String ran) {
		assertThat(this.caller.failure.code()).isEqualTo(ResultCode.CLAIM_UNCONFIRMED);
		assertThat(this.caller.outcome()).as(this.caller.failure.toString()).isEqualTo(ran);
	}

}
