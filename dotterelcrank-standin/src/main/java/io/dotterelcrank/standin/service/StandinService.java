package io.dotterelcrank.standin.service;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;

/**
 * A simulated plain service that takes bookings and counts how often each call is
 * executed. Thread-safe.
 */
public final class StandinService implements ServiceClient {

	/** HTTP status of every response. */
	private static final int OK = 200;

	private final Scheduler scheduler;

	/** Time from execution to response. */
	private final long latencyMillis;

	/** Number of executions by method, path and body; guarded by this. */
	private final Map<String, Integer> runCounts = new HashMap<>();

	private volatile ServiceFault fault = ServiceFault.NONE;

	private StandinService(Scheduler scheduler, long latencyMillis) {
		this.scheduler = scheduler;
		this.latencyMillis = latencyMillis;
	}

	/**
	 * Creates a service.
	 * @param scheduler sends the delayed responses
	 * @param latencyMillis time from execution to response, in milliseconds
	 * @return a service without faults
	 */
	public static StandinService withLatency(Scheduler scheduler, long latencyMillis) {
		return new StandinService(scheduler, latencyMillis);
	}

	@Override
	public void invoke(ServiceCall call, Listener listener) {
		ServiceFault activeFault = this.fault;
		if (activeFault == ServiceFault.REFUSE_CONNECTION) {
			listener.failed(false, "connection refused");
			return;
		}
		if (activeFault == ServiceFault.BREAK_BEFORE_RUN) {
			listener.failed(true, "connection reset");
			return;
		}
		ServiceResponse response = run(call.method(), call.path(), call.body());
		this.scheduler.schedule(this.latencyMillis, () -> {
			if (activeFault == ServiceFault.NONE) {
				listener.responseReceived(response);
			}
			else if (activeFault != ServiceFault.NO_ANSWER) {
				listener.failed(true, "connection reset");
			}
		});
		if (activeFault == ServiceFault.NO_ANSWER) {
			this.scheduler.schedule(call.deadlineMillis(),
					() -> listener.failed(true, "no response before the deadline"));
		}
	}

	/**
	 * Executes a call and counts it, whatever fault is in force.
	 * @param method name of the HTTP method
	 * @param path request path
	 * @param body request body: the name of the booking, in UTF-8
	 * @return the booking and its number of executions, as JSON
	 */
	public synchronized ServiceResponse run(String method, String path, byte[] body) {
		String booking = new String(body, StandardCharsets.UTF_8);
		int runNumber = this.runCounts.merge(method + ' ' + path + ' ' + booking, 1, Integer::sum);
		String json = "{\"booked\":\"" + booking.replace('"', '\'') + "\",\"runs\":" + runNumber + "}";
		return new ServiceResponse(OK, List.of(new Header("Content-Type", "application/json")),
				json.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Replaces the fault in force.
	 * @param newFault the new fault, or {@link ServiceFault#NONE} to end it
	 */
	public void injectFault(ServiceFault newFault) {
		this.fault = newFault;
	}

	/**
	 * Returns the fault in force.
	 * @return the fault, or {@link ServiceFault#NONE}
	 */
	public ServiceFault fault() {
		return this.fault;
	}

	/**
	 * Returns how often each call was executed.
	 * @return executions by method, path and body, separated by spaces
	 */
	public synchronized Map<String, Integer> runCounts() {
		return Map.copyOf(this.runCounts);
	}

	/**
	 * Returns how often a booking was executed.
	 * @param booking request body
	 * @return number of executions over all methods and paths
	 */
	public synchronized int runCount(String booking) {
		return this.runCounts.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().endsWith(' ' + booking))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

}
