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
 * A plain service that books what its callers ask for, and records how often each body
 * ran. Thread-safe.
 */
public final class StandinService implements ServiceClient {

	/** Status of a successful answer. */
	private static final int OK = 200;

	/** Runs delayed answers. */
	private final Scheduler scheduler;

	/** Time that a call takes, in milliseconds. */
	private final long latencyMillis;

	/** How often each body ran; guarded by this. */
	private final Map<String, Integer> runCounts = new HashMap<>();

	/** Fault switched on. */
	private volatile ServiceFault fault = ServiceFault.NONE;

	private StandinService(Scheduler scheduler, long latencyMillis) {
		this.scheduler = scheduler;
		this.latencyMillis = latencyMillis;
	}

	/**
	 * Creates a service.
	 * @param scheduler runs delayed answers
	 * @param latencyMillis time that a call takes, in milliseconds
	 * @return a new service
	 */
	public static StandinService withLatency(Scheduler scheduler, long latencyMillis) {
		return new StandinService(scheduler, latencyMillis);
	}

	@Override
	public void invoke(ServiceCall call, Listener listener) {
		ServiceFault now = this.fault;
		if (now == ServiceFault.REFUSE_CONNECTION) {
			listener.failed(false, "connection refused");
			return;
		}
		if (now == ServiceFault.BREAK_BEFORE_RUN) {
			listener.failed(true, "connection reset");
			return;
		}
		ServiceResponse reply = run(call.method(), call.path(), call.body());
		this.scheduler.schedule(this.latencyMillis, () -> {
			if (now == ServiceFault.NONE) {
				listener.answered(reply);
			}
			else if (now != ServiceFault.NO_ANSWER) {
				listener.failed(true, "connection reset");
			}
		});
		if (now == ServiceFault.NO_ANSWER) {
			this.scheduler.schedule(call.deadlineMillis(), () -> listener.failed(true, "no answer in time"));
		}
	}

	/**
	 * Runs a call.
	 * @param method name of the HTTP method
	 * @param path path at the service
	 * @param body request body, which names what is booked
	 * @return the answer
	 */
	public synchronized ServiceResponse run(String method, String path, byte[] body) {
		String booking = new String(body, StandardCharsets.UTF_8);
		int count = this.runCounts.merge(method + ' ' + path + ' ' + booking, 1, Integer::sum);
		String text = "{\"booked\":\"" + booking.replace('"', '\'') + "\",\"runs\":" + count + "}";
		return new ServiceResponse(OK, List.of(new Header("Content-Type", "application/json")),
				text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Switches a fault on, or all faults off.
	 * @param value the fault
	 */
	public void injectFault(ServiceFault value) {
		this.fault = value;
	}

	/**
	 * Returns the fault switched on.
	 * @return the fault
	 */
	public ServiceFault fault() {
		return this.fault;
	}

	/**
	 * Returns how often each call ran.
	 * @return runs by method, path and body
	 */
	public synchronized Map<String, Integer> runCounts() {
		return Map.copyOf(this.runCounts);
	}

	/**
	 * Returns how often a body ran.
	 * @param booking the body
	 * @return number of runs, whatever method and path
	 */
	public synchronized int runCount(String booking) {
		return this.runCounts.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().endsWith(' ' + booking))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

}
