package io.dotterelcrank.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.standin.fleet.VirtualFleet;

/**
 * Sends requests of test callers into a fleet.
 */
final class TestFleet {

	/** Longest output that callers ask for, in tokens. */
	private static final int MAX_TOKENS = 60_000;

	private final VirtualFleet fleet;

	TestFleet(VirtualFleet fleet) {
		this.fleet = fleet;
	}

	private EntryProcess entry(String name) {
		return this.fleet.entries().get(name).entry();
	}

	TestCaller stream(String entry, String workspace, int tokens) {
		return generate(entry, workspace, tokens, true, 600_000);
	}

	TestCaller generate(String entry, String workspace, int tokens, boolean streams, long deadlineMillis) {
		TestCaller caller = new TestCaller(streams);
		Generation request = new Generation("", workspace, VirtualFleet.MODEL, Priority.NORMAL,
				"[tokens=" + tokens + "] note", 20, MAX_TOKENS, deadlineMillis);
		caller.handle = entry(entry).generate(request, caller);
		return caller;
	}

	TestCaller continueAfter(String entry, TestCaller before, String workspace) {
		TestCaller caller = new TestCaller(true);
		Generation request = new Generation("", workspace, VirtualFleet.MODEL, Priority.NORMAL, "", 0, 0, 600_000);
		caller.handle = entry(entry).resume(request, before.lastEvent(), caller);
		return caller;
	}

	TestCallCaller call(String entry, String method, String key, String body, long deadlineMillis) {
		TestCallCaller caller = new TestCallCaller();
		ServiceCall call = new ServiceCall("", "delegates", VirtualFleet.SERVICE, Priority.NORMAL, key, method,
				"/bookings", List.of(), body.getBytes(StandardCharsets.UTF_8), deadlineMillis);
		entry(entry).call(call, caller);
		return caller;
	}

}
