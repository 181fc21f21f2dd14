package io.dotterelcrank.process.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.process.membership.Target;
import io.dotterelcrank.request.CallerRequest;
import io.dotterelcrank.version.plan.ServingPlan;

/**
 * Passes callers' requests on: holds the plan, the targets, the requests under way and
 * those that wait for room. Invariant: the plan's version never falls. Belongs to the
 * traffic thread.
 */
public final class RelayService {

	/** Time between two looks at waiting requests and silent streams, in milliseconds. */
	static final long TICK_MILLIS = 50;

	/**
	 * Age above which the plan may lack a change, in milliseconds; changes are in force
	 * within 2 s.
	 */
	static final long PLAN_FRESH_MILLIS = 3_500;

	/**
	 * Time from the start of the process within which requests wait for the first plan,
	 * in milliseconds; reading it takes a few tenths of a second.
	 */
	static final long FIRST_PLAN_MILLIS = 600;

	/** Requests that wait at most; more are refused at once. */
	static final int MAX_WAITING = 200;

	/**
	 * Order in which waiting requests are served: those that can be on time, the most
	 * urgent, the oldest.
	 */
	private static final Comparator<RelayedRequest> WAITING_ORDER = Comparator.comparing(RelayedRequest::late)
		.thenComparingInt(RelayedRequest::priority)
		.thenComparingLong(RelayedRequest::arrivedMillis);

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(RelayService.class);

	/** Clock of the process. */
	private final Clock clock;

	/** The traffic thread. */
	private final Scheduler traffic;

	/** Sends to targets. */
	private final TargetClient client;

	/** Asks sidecars for room. */
	private final AdmissionClient rooms;

	/** Figures of the deployment. */
	private final RelaySettings settings;

	/** Source of randomness. */
	private final UniformRandomProvider random;

	/** Counters and timings. */
	private final RelayMetrics metrics;

	/** The targets. */
	private final TargetBook book;

	/** Repeat budgets by service. */
	private final Map<String, SendBudget> budgets = new HashMap<>();

	/** Requests under way. */
	private final Set<RelayedRequest> active = new LinkedHashSet<>();

	/** Open questions to sidecars, by their numbers. */
	private final Map<Long, AdmissionQuery> questions = new HashMap<>();

	/** Requests that wait for room at a target. */
	private final List<RelayedRequest> waiting = new ArrayList<>();

	/** Number of the last question to a sidecar. */
	private long lastQuestion;

	/** When the process started, in milliseconds. */
	private final long startedMillis;

	/** Plan in force, or {@code null} before the first. */
	private ServingPlan plan;

	/** When the plan was last known to be current, in milliseconds. */
	private long planConfirmedMillis;

	/** Number of entry hosts. */
	private int hosts = 1;

	/** When the planned stop began, in milliseconds; 0 if it did not. */
	private long stoppingAtMillis;

	/** When new requests are no longer served, in a planned stop, in milliseconds. */
	private long servesUntilMillis;

	private RelayService(Clock clock, Scheduler traffic, TargetClient client, AdmissionClient rooms,
			RelaySettings settings, UniformRandomProvider random, MetricRegistry metrics) {
		this.clock = clock;
		this.traffic = traffic;
		this.client = client;
		this.rooms = rooms;
		this.settings = settings;
		this.random = random;
		this.metrics = new RelayMetrics(metrics);
		this.book = new TargetBook(clock, random);
		this.startedMillis = clock.millis();
	}

	/**
	 * Creates a service without plan and targets.
	 * @param clock clock of the process
	 * @param traffic the traffic thread
	 * @param client sends to targets
	 * @param rooms asks sidecars for room
	 * @param settings figures of the deployment
	 * @param random source of randomness
	 * @param metrics metrics of the process
	 * @return a new service
	 */
	public static RelayService of(Clock clock, Scheduler traffic, TargetClient client, AdmissionClient rooms,
			RelaySettings settings, UniformRandomProvider random, MetricRegistry metrics) {
		return new RelayService(clock, traffic, client, rooms, settings, random, metrics);
	}

	/**
	 * Starts looking after waiting requests and silent streams.
	 */
	public void start() {
		this.traffic.scheduleWithFixedDelay(TICK_MILLIS, this::tick);
	}

	private void tick() {
		this.active.stream()
			.sorted(Comparator.comparingDouble(RelayedRequest::copyRank).reversed())
			.toList()
			.forEach(RelayedRequest::look);
		serveWaiting();
	}

	/**
	 * Takes a plan in.
	 * @param newPlan the plan
	 */
	public void plan(ServingPlan newPlan) {
		if (this.plan != null && newPlan.version() <= this.plan.version()) {
			return;
		}
		this.plan = newPlan;
		LogEvent.PLAN_IN_FORCE.log(logger, newPlan.version());
	}

	/**
	 * Takes in how old the knowledge of the plan is.
	 * @param ageMillis time since the plan was known to be current, in milliseconds
	 */
	public void updatePlanAge(long ageMillis) {
		this.planConfirmedMillis = this.clock.millis() - ageMillis;
	}

	/**
	 * Takes in the targets that there are.
	 * @param targets the targets
	 */
	public void updateTargets(List<Target> targets) {
		this.book.update(targets);
		tick();
	}

	/**
	 * Takes in the load of an engine.
	 * @param load the load
	 */
	public void updateLoad(EngineLoad load) {
		this.book.report(load);
		tick();
	}

	/**
	 * Takes in a sidecar's answer to a question for room.
	 * @param answer the answer
	 */
	public void handleAdmissionResponse(Message.AdmissionResponse answer) {
		AdmissionQuery asked = this.questions.get(answer.requestNumber());
		if (asked != null) {
			asked.answered(answer.granted(), answer.load());
		}
	}

	long nextQuestion(AdmissionQuery asking) {
		this.lastQuestion++;
		this.questions.put(this.lastQuestion, asking);
		return this.lastQuestion;
	}

	void closeQuestion(long number) {
		this.questions.remove(number);
	}

	AdmissionClient rooms() {
		return this.rooms;
	}

	/**
	 * Takes in the number of entry hosts.
	 * @param count number of hosts, this one included
	 */
	public void hosts(int count) {
		this.hosts = Math.max(1, count);
	}

	/**
	 * Begins a planned stop: requests go on, new long ones are refused after a while, and
	 * then all new ones, so that none is under way when the process ends.
	 * @param acceptMillis how long new requests are still served, in milliseconds
	 */
	public void startDraining(long acceptMillis) {
		this.stoppingAtMillis = this.clock.millis();
		this.servesUntilMillis = this.stoppingAtMillis + acceptMillis;
	}

	/**
	 * Tells whether the process is too close to its end for new requests.
	 * @return {@code true} late in a planned stop
	 */
	boolean closed() {
		return this.stoppingAtMillis > 0 && this.clock.millis() >= this.servesUntilMillis;
	}

	/**
	 * Returns the number of requests under way.
	 * @return requests that have no answer yet
	 */
	public int activeRequests() {
		return this.active.size();
	}

	/**
	 * Tells whether requests can be served.
	 * @return {@code true} with a plan and a target, unless the process is stopping
	 */
	public boolean ready() {
		return this.plan != null && !this.book.states().isEmpty() && this.stoppingAtMillis == 0;
	}

	/**
	 * Takes a request.
	 * @param request the request
	 * @param caller way back to the caller
	 * @return the request under way
	 */
	public RelayedRequest accept(CallerRequest request, CallerChannel caller) {
		RelayedRequest relay = new RelayedRequest(this, request, caller);
		this.active.add(relay);
		relay.start();
		return relay;
	}

	void ended(RelayedRequest relay) {
		this.active.remove(relay);
		this.waiting.remove(relay);
	}

	boolean await(RelayedRequest relay) {
		if (this.waiting.size() >= MAX_WAITING) {
			return false;
		}
		if (!this.waiting.contains(relay)) {
			this.waiting.add(relay);
		}
		return true;
	}

	void serveWaiting() {
		this.waiting.sort(WAITING_ORDER);
		for (RelayedRequest relay : List.copyOf(this.waiting)) {
			if (relay.place()) {
				this.waiting.remove(relay);
			}
		}
	}

	boolean planFresh() {
		return this.clock.millis() - this.planConfirmedMillis <= PLAN_FRESH_MILLIS;
	}

	SendBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> SendBudget.of(this.clock, this.settings));
	}

	/**
	 * Tells whether the first plan is still on its way.
	 * @return {@code true} for a short time after the start
	 */
	boolean planExpected() {
		return this.plan == null && this.clock.millis() - this.startedMillis < FIRST_PLAN_MILLIS;
	}

	/**
	 * Tells whether the first targets are still on their way.
	 * @return {@code true} for a short time after the start
	 */
	boolean targetsExpected() {
		return this.book.states().isEmpty() && this.clock.millis() - this.startedMillis < FIRST_PLAN_MILLIS;
	}

	ServingPlan plan() {
		return this.plan;
	}

	TargetBook book() {
		return this.book;
	}

	Clock clock() {
		return this.clock;
	}

	Scheduler traffic() {
		return this.traffic;
	}

	TargetClient client() {
		return this.client;
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

	int hosts() {
		return this.hosts;
	}

	/**
	 * Returns how long the planned stop has lasted.
	 * @return time in milliseconds; 0 if none has begun
	 */
	long stoppingMillis() {
		return (this.stoppingAtMillis == 0) ? 0 : this.clock.millis() - this.stoppingAtMillis + 1;
	}

	/**
	 * Returns what the service believes.
	 * @return values by name, for dumps
	 */
	public Map<String, Object> dump() {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("planVersion", (this.plan != null) ? this.plan.version() : -1);
		dump.put("planAgeMillis", this.clock.millis() - this.planConfirmedMillis);
		dump.put("entryHosts", this.hosts);
		dump.put("requestsUnderWay", this.active.size());
		dump.put("requestsWaiting", this.waiting.size());
		dump.put("stoppingMillis", stoppingMillis());
		dump.put("targets", this.book.states().stream().map(RelayService::dump).toList());
		return dump;
	}

	private static Map<String, Object> dump(TrackedTarget state) {
		Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("id", state.id());
		dump.put("service", state.target().registration().service());
		dump.put("dataCentre", state.target().registration().dataCentre());
		dump.put("open", state.open());
		dump.put("listed", state.target().listed());
		dump.put("ownRequests", state.ownRequests());
		dump.put("failedShare", state.failedShare());
		dump.put("load", String.valueOf(state.load()));
		return dump;
	}

}
