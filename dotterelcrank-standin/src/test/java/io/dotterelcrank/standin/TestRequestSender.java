package io.dotterelcrank.standin;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.dotterelcrank.process.entry.EntryProcess;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.standin.fleet.VirtualFleet;

/**
 * Sends requests to entry processes of a fleet, each with a caller that records the
 * results.
 */
final class TestRequestSender {

	/** Maximum number of output tokens requested. */
	private static final int MAX_TOKENS = 60_000;

	private final VirtualFleet fleet;

	TestRequestSender(VirtualFleet fleet) {
		this.fleet = fleet;
	}

	private EntryProcess entry(String name) {
		return this.fleet.entries().get(name).entry();
	}

	TestGenerationCaller startStream(String entry, String workspace, int tokens) {
		return startGeneration(entry, workspace, tokens, true, 600_000);
	}

	TestGenerationCaller startGeneration(String entry, String workspace, int tokens, boolean streaming,
			long deadlineMillis) {
		TestGenerationCaller caller = new TestGenerationCaller(streaming);
		Generation request = new Generation("", workspace, VirtualFleet.MODEL, Priority.NORMAL,
				"[tokens=" + tokens + "] note", 20, MAX_TOKENS, deadlineMillis);
		caller.handle = entry(entry).generate(request, caller);
		return caller;
	}

	TestGenerationCaller resumeAfter(String entry, TestGenerationCaller previous, String workspace) {
		TestGenerationCaller caller = new TestGenerationCaller(true);
		Generation request = new Generation("", workspace, VirtualFleet.MODEL, Priority.NORMAL, "", 0, 0, 600_000);
		caller.handle = entry(entry).resume(request, previous.lastEventId(), caller);
		return caller;
	}

	TestServiceCaller sendCall(String entry, String method, String key, String body, long deadlineMillis) {
		TestServiceCaller caller = new TestServiceCaller();
		ServiceCall call = new ServiceCall("", "delegates", VirtualFleet.SERVICE, Priority.NORMAL, key, method,
				"/bookings", List.of(), body.getBytes(StandardCharsets.UTF_8), deadlineMillis);
		entry(entry).call(call, caller);
		return caller;
	}

}
