package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.overload.WaitingOrder;
import io.dotterelcrank.request.ResultCode;

/**
 * The requests of this host whose response is not complete, and those among them that
 * wait for a free target. Addresses defects that a single request meets, errors without
 * memory or stack included: they end that request at most, and the others are polled and
 * placed as before. Invariants: every step of a request is run by {@link #run} or
 * {@link #runOrEnd}; a request that was sent, or for which a sidecar was asked, does not
 * wait. Confined to the traffic thread.
 */
final class ActiveRequests {

	/** Max number of waiting requests; more are refused at once. */
	static final int MAX_WAITING_REQUESTS = 200;

	private static final Logger logger = LoggerFactory.getLogger(ActiveRequests.class);

	private final Scheduler trafficThread;

	private final Set<RelayedRequest> active = new LinkedHashSet<>();

	/** Requests that wait for a free target, or for the first plan. */
	private final List<RelayedRequest> waiting = new ArrayList<>();

	/** Requests that met a defect while a target was at work on them. */
	private final Set<RelayedRequest> unpolled = new HashSet<>();

	/** Whether waiting requests are about to be placed, as another one has ended. */
	private boolean placementScheduled;

	/** Whether a poll is about to run. */
	private boolean pollScheduled;

	ActiveRequests(Scheduler trafficThread) {
		this.trafficThread = trafficThread;
	}

	/**
	 * Adds a request and starts it.
	 * @param request the request
	 */
	void start(RelayedRequest request) {
		this.active.add(request);
		run(request, request::start);
	}

	/**
	 * Polls all requests, those first whose generation saves most work per copied token,
	 * and places waiting ones.
	 */
	void poll() {
		List<PolledRequest> polled = new ArrayList<>();
		for (RelayedRequest request : List.copyOf(this.active)) {
			if (!this.unpolled.contains(request)) {
				run(request, () -> polled.add(new PolledRequest(request, request.resumer().workSavedPerCopiedToken())));
			}
		}
		polled.sort(Comparator.comparingDouble(PolledRequest::copyPriority).reversed());
		polled.forEach((entry) -> run(entry.request(), entry.request()::poll));
		placeWaiting();
	}

	/**
	 * Polls all requests soon. Polls decide by the time since the last event, so what has
	 * arrived is to be read first: the traffic thread reads between a task and the timers
	 * that it starts.
	 */
	void schedulePoll() {
		if (!this.pollScheduled) {
			this.trafficThread.schedule(0, () -> {
				this.pollScheduled = false;
				poll();
			});
			this.pollScheduled = true;
		}
	}

	/**
	 * Runs a step of a request. If it meets a defect, the request is ended, unless a
	 * target is at work on it: then its response goes on without further polls.
	 * @param request the request
	 * @param step what to run
	 */
	void run(RelayedRequest request, Runnable step) {
		try {
			step.run();
		}
		catch (Throwable ex) {
			if (!request.done() && !request.attempts().isEmpty()) {
				Defects.log(LogEvent.REQUEST_DEFECT, logger, ex, request.id());
				this.unpolled.add(request);
				return;
			}
			endAfterDefect(request, ex);
		}
	}

	/**
	 * Runs a step after which nothing else would end the request. If it meets a defect,
	 * the request is ended, whatever its targets do.
	 * @param request the request
	 * @param step what to run
	 */
	void runOrEnd(RelayedRequest request, Runnable step) {
		try {
			step.run();
		}
		catch (Throwable ex) {
			endAfterDefect(request, ex);
		}
	}

	private void endAfterDefect(RelayedRequest request, Throwable defect) {
		Defects.log(LogEvent.REQUEST_DEFECT, logger, defect, request.id());
		try {
			request.abandon();
		}
		catch (Throwable ex) {
			Defects.log(LogEvent.REQUEST_DEFECT, logger, ex, request.id());
		}
	}

	/**
	 * Ends all requests.
	 * @param reason why, for logs and error messages
	 */
	void endAll(String reason) {
		for (RelayedRequest request : List.copyOf(this.active)) {
			runOrEnd(request, () -> request.endInFailure(ResultCode.ENTRY_LEAVING, reason));
		}
	}

	void remove(RelayedRequest request) {
		this.active.remove(request);
		this.unpolled.remove(request);
		this.waiting.remove(request);
		schedulePlacement();
	}

	/**
	 * Places waiting requests after the present task, if there are any.
	 */
	void schedulePlacement() {
		if (!this.waiting.isEmpty() && !this.placementScheduled) {
			this.trafficThread.execute(() -> {
				this.placementScheduled = false;
				placeWaiting();
			});
			this.placementScheduled = true;
		}
	}

	boolean tryEnqueue(RelayedRequest request) {
		if (this.waiting.size() >= MAX_WAITING_REQUESTS) {
			return false;
		}
		if (!this.waiting.contains(request)) {
			this.waiting.add(request);
		}
		return true;
	}

	void placeWaiting() {
		for (RelayedRequest request : WaitingOrder.sorted(this.waiting)) {
			run(request, () -> place(request));
		}
	}

	/**
	 * Places a request, unless it no longer waits. It does not wait meanwhile: its target
	 * may refuse it before this method returns, so that it is to wait again.
	 * @param request the request
	 */
	private void place(RelayedRequest request) {
		if (this.waiting.remove(request) && !request.tryPlace() && !this.waiting.contains(request)) {
			this.waiting.add(request);
		}
	}

	/**
	 * Returns the requests that wait for a free target.
	 * @return live view, in no order
	 */
	List<RelayedRequest> waiting() {
		return this.waiting;
	}

	/**
	 * Returns the number of requests without a complete response.
	 * @return waiting ones included
	 */
	int size() {
		return this.active.size();
	}

	/**
	 * An active request with its order among those polled. Immutable.
	 *
	 * @param request the request
	 * @param copyPriority its priority when the poll began
	 */
	private record PolledRequest(RelayedRequest request, double copyPriority) {
	}

}
