package io.dotterelcrank.process.relay;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.Defects;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.limit.RatePermitIssuer;
import io.dotterelcrank.process.limit.TargetRateLimiter;
import io.dotterelcrank.process.limit.WindowedRetryBudget;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.process.quarantine.Quarantine;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.plan.CallerLimits;
import io.dotterelcrank.version.plan.ServingPlan;

/**
 * Relays callers' requests to targets. Holds the serving plan, the targets, the active
 * requests and those that wait for a free target. Invariant: the plan's version never
 * decreases. Confined to the traffic thread.
 */
public final class RelayService {

	/** Time between two polls of waiting and active requests, in milliseconds. */
	static final long POLL_MILLIS = 50;

	/**
	 * Time from the start of the process within which requests wait for the first plan
	 * and the first targets, in milliseconds; reading them takes a few tenths of a
	 * second.
	 */
	static final long STARTUP_WAIT_MILLIS = 600;

	private static final Logger logger = LoggerFactory.getLogger(RelayService.class);

	private final Clock clock;

	private final Scheduler trafficThread;

	private final RelayClients clients;

	private final LoadSampler loadSampler;

	private final OverloadControl overloadControl;

	private final RelaySettings settings;

	private final UniformRandomProvider random;

	private final RelayMetrics metrics;

	private final TargetPool targetPool;

	private final RatePermitIssuer ratePermitIssuer;

	private final Quarantine quarantine;

	private final RolloutGate rolloutGate;

	private final Map<String, WindowedRetryBudget> retryBudgets = new HashMap<>();

	private final ActiveRequests activeRequests;

	private final ThreadLateness threadLateness;

	/** Senders of the admission requests without a response, by request number. */
	private final Map<Long, AdmissionRequester> openAdmissionRequests = new HashMap<>();

	/** 0 before the first admission request. */
	private long lastAdmissionRequestNumber;

	private final long startedMillis;

	/** {@code null} before the first plan. */
	private ServingPlan plan;

	/** When the plan was last known to be current. */
	private long planConfirmedMillis;

	/** Number of entry hosts, this one included. */
	private int entryHosts = 1;

	private final DrainState drainState;

	private RelayService(Clock clock, Scheduler trafficThread, RelayClients clients, RelaySettings settings,
			UniformRandomProvider random, MetricRegistry metrics) {
		this.clock = clock;
		this.trafficThread = trafficThread;
		this.activeRequests = new ActiveRequests(trafficThread);
		this.clients = clients;
		this.settings = settings;
		this.random = random;
		this.metrics = new RelayMetrics(metrics);
		this.threadLateness = new ThreadLateness(clock, this.metrics, POLL_MILLIS);
		this.startedMillis = clock.millis();
		TargetRateLimiter.Factory limiters = settings.firstStart()
				? new TargetRateLimiter.Factory.ForFirstProcess(clock)
				: new TargetRateLimiter.Factory.ForSuccessor(clock, this.startedMillis);
		this.ratePermitIssuer = RatePermitIssuer.of(clock, limiters);
		this.drainState = new DrainState(clock, settings.graceMillis());
		this.quarantine = Quarantine.of(clock, clients.crashEvidence(), random);
		this.rolloutGate = RolloutGate.of(clock, settings, clients.rollouts(), this.metrics);
		this.targetPool = new TargetPool(clock, random, this::requestRatePermit, this.rolloutGate, limiters);
		this.overloadControl = new OverloadControl(clock, this.targetPool, random, settings.yieldsToShorterGoals());
		this.loadSampler = new LoadSampler(clock, trafficThread, clients.engineLoads(), this.targetPool, random);
	}

	/**
	 * Creates a service without a plan or targets.
	 * @param clock clock of the process
	 * @param trafficThread event loop thread that makes all calls to the service
	 * @param clients clients of targets, sidecars, engines and other entry hosts
	 * @param settings limits of the deployment
	 * @param random source of jitter
	 * @param metrics registry of the process
	 * @return a new service, not started
	 */
	public static RelayService of(Clock clock, Scheduler trafficThread, RelayClients clients, RelaySettings settings,
			UniformRandomProvider random, MetricRegistry metrics) {
		return new RelayService(clock, trafficThread, clients, settings, random, metrics);
	}

	/**
	 * Starts polling the active and waiting requests every {@link #POLL_MILLIS}.
	 */
	public void start() {
		this.trafficThread.scheduleWithFixedDelay(POLL_MILLIS, () -> {
			this.threadLateness.recordRun(this.activeRequests.size());
			poll();
		});
	}

	private void poll() {
		Defects.isolate(logger, this.quarantine::poll);
		Defects.isolate(logger, () -> this.rolloutGate.poll(this.targetPool));
		this.activeRequests.poll();
	}

	/**
	 * Replaces the plan unless the new one is of the same or an older version.
	 * @param newPlan plan to use for new requests
	 */
	public void updatePlan(ServingPlan newPlan) {
		if (this.plan != null && newPlan.version() <= this.plan.version()) {
			return;
		}
		this.plan = newPlan;
		LogEvent.PLAN_IN_FORCE.log(logger, newPlan.version());
		newPlan.unservedWorkspaces()
			.forEach((name) -> LogEvent.WORKSPACE_NOT_SERVED.log(logger, name, newPlan.version()));
	}

	/**
	 * Returns the limits for callers.
	 * @return those of the plan in force
	 */
	public CallerLimits callerLimits() {
		return (this.plan != null) ? this.plan.limits() : CallerLimits.INITIAL;
	}

	/**
	 * Returns the failure of a request that exceeds a limit for callers. Before the first
	 * plan nobody knows whether operators allow the request, which may be sent again.
	 * @param code result code if the limit is that of a plan
	 * @param message human-readable explanation
	 * @return failure of a request that was not executed
	 */
	public Failure limitExceeded(ResultCode code, String message) {
		return (this.plan != null) ? Failure.notRun(code, message)
				: Failure.notRun(ResultCode.NOT_READY, "no configuration received yet")
					.withRetryAfter(RequestPlacement.retryJitterMillis(this.random));
	}

	/**
	 * Updates the age of the plan.
	 * @param ageMillis time since the plan was last known to be current, in milliseconds
	 */
	public void updatePlanAge(long ageMillis) {
		this.planConfirmedMillis = this.clock.millis() - ageMillis;
	}

	/**
	 * Replaces the known targets. Polls all requests soon if one has come or gone, or
	 * takes new work or no longer does; most updates only renew the registrations.
	 * @param targets all targets; those missing are forgotten
	 */
	public void updateTargets(List<Target> targets) {
		boolean changed = this.targetPool.update(targets);
		Defects.isolate(logger, () -> this.rolloutGate.updateTargets(targets));
		if (changed) {
			this.activeRequests.schedulePoll();
		}
	}

	/**
	 * Updates the load of an engine. Polls all requests soon if the engine begins to
	 * drain, and places those that wait if it has capacity for more than before; with
	 * tens of engines, reports arrive far more often than requests.
	 * @param load load report; ignored if no known target is at its address
	 */
	public void updateLoad(EngineLoad load) {
		switch (this.targetPool.updateLoad(load)) {
			case LEAVING_CHANGED -> this.activeRequests.schedulePoll();
			case CAPACITY_GAINED -> this.activeRequests.placeWaiting();
			case NO_GAIN -> {
			}
		}
	}

	/**
	 * Handles a sidecar's response to an admission request.
	 * @param response the response; ignored if the request has timed out or was cancelled
	 */
	public void handleAdmissionResponse(Message.AdmissionResponse response) {
		AdmissionRequester requester = this.openAdmissionRequests.get(response.requestNumber());
		if (requester != null) {
			requester.handleResponse(response.admitted(), response.load());
		}
	}

	long registerAdmissionRequest(AdmissionRequester requester) {
		this.lastAdmissionRequestNumber++;
		this.openAdmissionRequests.put(this.lastAdmissionRequestNumber, requester);
		return this.lastAdmissionRequestNumber;
	}

	void unregisterAdmissionRequest(long number) {
		this.openAdmissionRequests.remove(number);
	}

	AdmissionClient admissionClient() {
		return this.clients.admission();
	}

	/**
	 * Updates the number of entry hosts, which share retry budgets and rate limits.
	 * @param count number of hosts, this one included
	 */
	public void updateEntryHosts(int count) {
		this.entryHosts = Math.max(1, count);
		this.overloadControl.updateEntryHosts(this.entryHosts);
	}

	/**
	 * Starts draining for a graceful shutdown: active requests continue; after a while,
	 * those that could outlast the process are refused, and later all new ones.
	 * @param acceptMillis how long new requests are still accepted, in milliseconds
	 * @param endMillis time until the process ends at the latest, in milliseconds
	 */
	public void startDraining(long acceptMillis, long endMillis) {
		this.drainState.start(acceptMillis, endMillis);
	}

	/**
	 * Ends all active requests, right before the process does: callers learn whether
	 * their request may have run.
	 */
	public void endActiveRequests() {
		this.activeRequests.endAll("the entry host has shut down");
	}

	/**
	 * Returns the number of active requests.
	 * @return requests without a complete response, waiting ones included
	 */
	public int activeRequests() {
		return this.activeRequests.size();
	}

	/**
	 * Returns whether requests can be served.
	 * @return {@code true} with a plan and a target, unless draining
	 */
	public boolean ready() {
		return this.plan != null && !this.targetPool.targets().isEmpty() && !this.drainState.started();
	}

	/**
	 * Accepts a request and sends, enqueues or refuses it.
	 * @param request the caller's request
	 * @param caller channel for the response
	 * @return the relayed request, to be notified of changes of the caller's connection
	 */
	public RelayedRequest accept(CallerRequest request, CallerChannel caller) {
		RelayedRequest relayed = new RelayedRequest(this, request, caller);
		this.activeRequests.start(relayed);
		return relayed;
	}

	ActiveRequests requests() {
		return this.activeRequests;
	}

	/**
	 * Returns the age of the plan.
	 * @return time since the plan was last known to be current, in milliseconds
	 */
	long planAgeMillis() {
		return this.clock.millis() - this.planConfirmedMillis;
	}

	WindowedRetryBudget retryBudget(String service) {
		return this.retryBudgets.computeIfAbsent(service, (name) -> newRetryBudget());
	}

	private WindowedRetryBudget newRetryBudget() {
		return this.settings.firstStart()
				? WindowedRetryBudget.of(this.clock, this.settings.retryRatio(), this.settings.retrySlack(),
						this.settings.retryWindowMillis())
				: WindowedRetryBudget.ofSuccessor(this.clock, this.settings.retryRatio(), this.settings.retrySlack(),
						this.settings.retryWindowMillis(), this.startedMillis);
	}

	boolean retryBudgetAllows(String service) {
		return retryBudget(service).allowsRetry(this.entryHosts);
	}

	/**
	 * Returns whether a request may be retried now. If not, a permit is requested from
	 * other entry hosts, which may arrive soon.
	 * @param service name of the service
	 * @return {@code true} if a permit is available
	 */
	boolean obtainsRetryPermit(String service) {
		boolean available = retryBudgetAllows(service);
		if (!available) {
			this.clients.retryLoans().requestLoan(service);
		}
		return available;
	}

	/**
	 * Lends a retry permit to another entry host.
	 * @param service name of the service whose requests are to be retried
	 * @return {@code false} if this host has too few itself
	 */
	public boolean tryLendRetry(String service) {
		return retryBudget(service).tryLend(this.entryHosts);
	}

	/**
	 * Adds a retry permit that another entry host has lent.
	 * @param service name of the service whose requests may be retried
	 */
	public void addRetryLoan(String service) {
		LogEvent.RETRY_BORROWED.log(logger, service);
		retryBudget(service).addBorrowed();
		this.activeRequests.schedulePoll();
	}

	private void requestRatePermit(Message.RatePermitRequest request) {
		if (this.entryHosts == 1) {
			this.trafficThread.execute(() -> handleRatePermit(issueRatePermit(request)));
			return;
		}
		this.clients.ratePermits().send(request);
	}

	/**
	 * Issues a permit for a request to a target that names a limit.
	 * @param request request of another entry host or of this one
	 * @return permit or refusal
	 */
	public Message.RatePermit issueRatePermit(Message.RatePermitRequest request) {
		return this.ratePermitIssuer.issue(request);
	}

	/**
	 * Handles the response to a request for a rate permit.
	 * @param permit permit or refusal; ignored if the target is no longer known
	 */
	public void handleRatePermit(Message.RatePermit permit) {
		this.metrics.recordRatePermit(permit.granted());
		this.targetPool.find(permit.target()).ifPresent((target) -> target.rateGate().handlePermit(permit));
		if (permit.granted() || !permit.limited()) {
			this.activeRequests.schedulePlacement();
		}
	}

	/**
	 * Returns whether the first plan may still arrive soon.
	 * @return {@code true} without a plan within {@link #STARTUP_WAIT_MILLIS}
	 */
	boolean awaitsFirstPlan() {
		return this.plan == null && this.clock.millis() - this.startedMillis < STARTUP_WAIT_MILLIS;
	}

	/**
	 * Returns whether the first targets may still arrive soon.
	 * @return {@code true} without targets within {@link #STARTUP_WAIT_MILLIS}
	 */
	boolean awaitsFirstTargets() {
		return this.targetPool.targets().isEmpty() && this.clock.millis() - this.startedMillis < STARTUP_WAIT_MILLIS;
	}

	ServingPlan plan() {
		return this.plan;
	}

	/**
	 * Returns the quarantine of content that crashes targets.
	 * @return the quarantine, which is confined to the traffic thread too
	 */
	public Quarantine quarantine() {
		return this.quarantine;
	}

	/**
	 * Returns the gate that divides requests among the versions of a service.
	 * @return the gate, which is confined to the traffic thread too
	 */
	public RolloutGate rolloutGate() {
		return this.rolloutGate;
	}

	OverloadControl overloadControl() {
		return this.overloadControl;
	}

	LoadSampler loadSampler() {
		return this.loadSampler;
	}

	TargetPool targetPool() {
		return this.targetPool;
	}

	Clock clock() {
		return this.clock;
	}

	Scheduler trafficThread() {
		return this.trafficThread;
	}

	TargetClient targetClient() {
		return this.clients.targets();
	}

	RelaySettings settings() {
		return this.settings;
	}

	UniformRandomProvider random() {
		return this.random;
	}

	RelayMetrics metrics() {
		return this.metrics;
	}

	int entryHosts() {
		return this.entryHosts;
	}

	ThreadLateness threadLateness() {
		return this.threadLateness;
	}

	DrainState drainState() {
		return this.drainState;
	}

	/**
	 * Returns the state of the service.
	 * @return values by name, for dumps
	 */
	public Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("planVersion", (this.plan != null) ? this.plan.version() : -1);
		dump.put("planAgeMillis", planAgeMillis());
		dump.put("entryHosts", this.entryHosts);
		Map<String, Object> budgets = new LinkedHashMap<>();
		this.retryBudgets.forEach((service, budget) -> budgets.put(service, budget.dump(this.entryHosts)));
		dump.put("retryBudgets", budgets);
		dump.put("requestsUnderWay", this.activeRequests.size());
		dump.put("requestsWaiting", this.activeRequests.waiting().size());
		dump.put("shortestGoalMillis", this.overloadControl.shortestGoals());
		dump.put("stoppingMillis", this.drainState.millis());
		dump.put("quarantined", this.quarantine.culprits());
		dump.put("rollouts", this.rolloutGate.dump());
		dump.put("targets", this.targetPool.targets().stream().map(TrackedTarget::dump).toList());
		return dump;
	}

}
