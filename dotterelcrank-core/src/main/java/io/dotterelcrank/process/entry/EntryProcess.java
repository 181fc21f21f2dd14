package io.dotterelcrank.process.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.HeartbeatExchange;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.routing.RetryBudget;
import io.dotterelcrank.process.routing.RoutingPolicy;
import io.dotterelcrank.request.AttemptId;
import io.dotterelcrank.request.EventId;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.ConfigurationUpdater;
import io.dotterelcrank.version.LogClient;
import io.dotterelcrank.version.Setting;
import io.dotterelcrank.version.Subject;

/**
 * Entry process: accepts requests of callers and forwards them to targets. Has no state
 * that must survive a restart. Public methods may be called on any thread unless stated
 * otherwise; state is confined to the control thread.
 */
public final class EntryProcess {

	/** Interval at which the host list is read. */
	static final long HOST_LIST_INTERVAL_MILLIS = 4_000;

	/** Interval at which links are checked for silence. */
	static final long LINK_CHECK_INTERVAL_MILLIS = 500;

	/** How long an attempt waits for a session with its target. */
	static final long CONNECT_TIMEOUT_MILLIS = 1_500;

	/** Retry-After for callers while no target accepts work. */
	static final long NO_TARGET_RETRY_AFTER_MILLIS = 1_000;

	/**
	 * Max age of the host list at which a request for an unlisted model or service does
	 * not read it again.
	 */
	static final long HOST_LIST_MAX_AGE_MILLIS = 250;

	/** Interval at which a shutdown checks whether all requests have ended. */
	private static final long DRAIN_CHECK_INTERVAL_MILLIS = 100;

	private static final Logger logger = LoggerFactory.getLogger(EntryProcess.class);

	private final EntryIdentity identity;

	private final ConfigurationHolder holder;

	private final ConfigurationUpdater updater;

	private final HostList hostList;

	private final ExecutionContext context;

	/** Heartbeats and configuration exchange with the sidecars. */
	private final HeartbeatExchange exchange;

	private final Targets targets;

	private final RetryBudget retryBudget = RetryBudget.full();

	private final Set<AttemptHandler> openRequests = new HashSet<>();

	private final Counter requestCounter = new Counter();

	/** Number of attempt ids generated. */
	private long idCount;

	/** Time of the last successful read of the host list. */
	private long hostListReadMillis;

	/** Whether the host list has contained a target at least once. */
	private volatile boolean targetsListed;

	private volatile boolean draining;

	private EntryProcess(EntryIdentity identity, HostList hostList, ConfigurationAccess configuration,
			RoutingPolicy policy, Transport transport, ExecutionContext context) {
		this.identity = identity;
		this.holder = configuration.holder();
		this.hostList = hostList;
		this.context = context;
		this.updater = ConfigurationUpdater.of(identity.name(), configuration.log(), configuration.holder(),
				context.clock(), context.scheduler(), context.io(), this::localEntryHosts);
		this.exchange = HeartbeatExchange.ofEntry(configuration.holder(), this.updater, context.clock(),
				context.scheduler());
		this.targets = new Targets(identity, configuration.holder(), policy, transport, this.exchange, context);
	}

	/**
	 * Starts an entry process.
	 * @param identity identity of the process
	 * @param hostList the host list
	 * @param configuration access to the configuration
	 * @param policy chooses the targets of requests
	 * @param transport opens connections to sidecars
	 * @param context clock, control thread and executor for blocking calls
	 * @return a running entry process
	 */
	public static EntryProcess start(EntryIdentity identity, HostList hostList, ConfigurationAccess configuration,
			RoutingPolicy policy, Transport transport, ExecutionContext context) {
		EntryProcess entry = new EntryProcess(identity, hostList, configuration, policy, transport, context);
		entry.updater.start();
		Runnable readHostList = () -> entry.readHostList((success) -> {
		});
		context.scheduler().execute(readHostList);
		context.scheduler().scheduleWithFixedDelay(HOST_LIST_INTERVAL_MILLIS, readHostList);
		context.scheduler().scheduleWithFixedDelay(LINK_CHECK_INTERVAL_MILLIS, entry.targets::checkLinks);
		context.scheduler().scheduleWithFixedDelay(Targets.HEARTBEAT_INTERVAL_MILLIS, entry.targets::sendNextHeartbeat);
		return entry;
	}

	private List<String> localEntryHosts() {
		return (this.targets != null) ? this.targets.localEntryHosts() : List.of(this.identity.name());
	}

	/**
	 * Reads the host list on the executor for blocking calls.
	 * @param callback called on the control thread with whether the list was read
	 */
	void readHostList(Consumer<Boolean> callback) {
		this.context.io().execute(() -> {
			try {
				List<HostList.Host> hosts = this.hostList.hosts();
				this.context.scheduler().execute(() -> {
					this.targets.updateHosts(hosts);
					this.hostListReadMillis = this.context.clock().millis();
					this.targetsListed |= !this.targets.links().isEmpty();
					callback.accept(true);
				});
			}
			catch (PlatformException ex) {
				LogEvent.HOST_LIST_UNREADABLE.log(logger, ex.getMessage());
				this.context.scheduler().execute(() -> callback.accept(false));
			}
		});
	}

	/**
	 * Returns whether the host list was read a moment ago.
	 * @return {@code true} up to an age of {@link #HOST_LIST_MAX_AGE_MILLIS}
	 */
	boolean hostListFresh() {
		return this.context.clock().millis() - this.hostListReadMillis < HOST_LIST_MAX_AGE_MILLIS;
	}

	/**
	 * Starts a generation.
	 * @param request the request; its id is ignored
	 * @param listener receives the tokens and the result
	 * @return handle for acknowledgements and disconnection
	 */
	public GenerationHandle generate(Generation request, GenerationListener listener) {
		return submit((handle) -> new GenerationRequest(this, handle, request, listener), GenerationRequest::start,
				listener::failed);
	}

	/**
	 * Resumes a generation, which another entry process may have started.
	 * @param request workspace and deadline of the caller; the rest is ignored
	 * @param lastEvent id of the last event that the caller received
	 * @param listener receives the remaining tokens and the result
	 * @return handle for acknowledgements and disconnection
	 */
	public GenerationHandle resume(Generation request, EventId lastEvent, GenerationListener listener) {
		return submit((handle) -> new GenerationRequest(this, handle, request, listener),
				(created) -> created.resume(lastEvent), listener::failed);
	}

	private GenerationHandle submit(Function<RequestHandle, GenerationRequest> factory,
			Consumer<GenerationRequest> starter, Consumer<Failure> onRefused) {
		GenerationHandle handle = new GenerationHandle(this.context.scheduler());
		accept(handle, onRefused, () -> {
			GenerationRequest created = factory.apply(handle);
			handle.generation = created;
			begin(handle, created);
			starter.accept(created);
		});
		return handle;
	}

	/**
	 * Sends a call to a plain service.
	 * @param call the call; its id is ignored
	 * @param listener receives the result
	 * @return handle for disconnection
	 */
	public RequestHandle call(ServiceCall call, CallListener listener) {
		RequestHandle handle = new RequestHandle(this.context.scheduler());
		accept(handle, listener::failed, () -> {
			ServiceCallRequest created = new ServiceCallRequest(this, handle, call, listener);
			begin(handle, created);
			created.start();
		});
		return handle;
	}

	/**
	 * Starts a request on the control thread, unless its caller has left.
	 * @param handle handle of the request
	 * @param onRefused called if this process accepts no requests
	 * @param starter creates and starts the request
	 */
	private void accept(RequestHandle handle, Consumer<Failure> onRefused, Runnable starter) {
		this.context.scheduler().execute(() -> {
			if (handle.callerLeft()) {
				return;
			}
			Failure unavailable = notReadyFailure();
			if (unavailable != null) {
				onRefused.accept(unavailable);
				return;
			}
			recordAccepted();
			starter.run();
		});
	}

	private void begin(RequestHandle handle, AbstractRequest created) {
		handle.setRequest(created);
		this.openRequests.add(created);
	}

	private void recordAccepted() {
		this.requestCounter.inc();
		this.retryBudget.recordRequest(this.holder.current().value(Setting.RETRY_BUDGET_PERCENT, Subject.FLEET));
	}

	private Failure notReadyFailure() {
		return ready() ? null
				: Failure
					.notRun(ResultCode.NOT_READY,
							"this entry host has not received a configuration, or found a target, yet")
					.withRetryAfter(HOST_LIST_INTERVAL_MILLIS);
	}

	/**
	 * Returns whether requests are accepted.
	 * @return {@code true} once a configuration was received and a target was listed
	 */
	public boolean ready() {
		return this.holder.ready() && this.targetsListed;
	}

	/**
	 * Begins a graceful shutdown. Requests are still accepted, since the load balancer
	 * may not have noticed {@link #draining} yet. Blocks until the control thread has
	 * counted the open requests.
	 */
	public void beginShutdown() {
		this.draining = true;
		LogEvent.PROCESS_STOPPING.log(logger, this.identity.name(), dump().open());
	}

	/**
	 * Waits without blocking until all requests have ended.
	 * @return completes when no request is open
	 */
	public CompletableFuture<Void> whenDrained() {
		CompletableFuture<Void> drained = new CompletableFuture<>();
		this.context.scheduler().execute(() -> checkDrained(drained));
		return drained;
	}

	private void checkDrained(CompletableFuture<Void> drained) {
		if (this.openRequests.isEmpty()) {
			drained.complete(null);
			return;
		}
		this.context.scheduler().schedule(DRAIN_CHECK_INTERVAL_MILLIS, () -> checkDrained(drained));
	}

	/**
	 * Returns whether a graceful shutdown has begun.
	 * @return {@code true} if the load balancer should send no more requests
	 */
	public boolean draining() {
		return this.draining;
	}

	/**
	 * Finds the target of an attempt. Must be called on the control thread.
	 * @param attempt id of the attempt
	 * @return name of the target; empty if the attempt has ended or is unknown
	 */
	public Optional<String> targetOf(String attempt) {
		return this.targets.links()
			.stream()
			.filter((target) -> target.hasAttempt(attempt))
			.map((target) -> target.host().name())
			.findFirst();
	}

	Clock clock() {
		return this.context.clock();
	}

	Scheduler scheduler() {
		return this.context.scheduler();
	}

	Targets targets() {
		return this.targets;
	}

	RetryBudget retryBudget() {
		return this.retryBudget;
	}

	long callerReconnectMillis() {
		return this.holder.current().value(Setting.RECONNECT_MILLIS, Subject.FLEET);
	}

	String nextId(String workspace) {
		return AttemptId.of(this.identity.name(), this.identity.incarnation(), ++this.idCount, workspace);
	}

	void requestEnded(AttemptHandler request) {
		this.openRequests.remove(request);
	}

	/**
	 * Registers the metrics of this process.
	 * @param metrics registry to which metrics named {@code entry.*} are added
	 */
	public void register(MetricRegistry metrics) {
		metrics.register("entry.requests", this.requestCounter);
		metrics.register("entry.open", (Gauge<Integer>) () -> dump().open());
		metrics.register("entry.links", (Gauge<Integer>) () -> dump().links());
		metrics.register("entry.configuration-age-millis", (Gauge<Long>) this.updater::ageMillis);
	}

	/**
	 * Returns a snapshot of the state. Blocks until the control thread has taken it.
	 * @return the snapshot
	 */
	public Dump dump() {
		CompletableFuture<Dump> dump = new CompletableFuture<>();
		this.context.scheduler().execute(() -> dump.complete(takeDump()));
		return dump.join();
	}

	private Dump takeDump() {
		Function<TargetLink, TargetDump> dumpTarget = (target) -> new TargetDump(target.host().name(),
				target.host().dataCentre(), target.open(), target.sessionNumber(), target.outstanding(), target.load());
		return new Dump(this.identity, this.holder.current().version(), this.updater.ageMillis(), ready(),
				this.draining, this.openRequests.size(), this.exchange.linkCount(), this.requestCounter.getCount(),
				this.targets.links().stream().map(dumpTarget).toList());
	}

	/**
	 * Access to the configuration and to the log from which it is updated. Immutable.
	 *
	 * @param log client of the log
	 * @param holder current configuration
	 */
	public record ConfigurationAccess(LogClient log, ConfigurationHolder holder) {
	}

	/**
	 * Snapshot of the state of an entry process. Immutable.
	 *
	 * @param identity identity of the process
	 * @param configurationVersion version of the current configuration
	 * @param configurationAgeMillis time since this version was last confirmed as the
	 * newest, in milliseconds
	 * @param ready whether requests are accepted
	 * @param leaving whether a graceful shutdown has begun
	 * @param open requests that have not ended
	 * @param links links with an open session
	 * @param requests requests accepted since the start
	 * @param targets state of the known targets
	 */
	public record Dump(EntryIdentity identity, long configurationVersion, long configurationAgeMillis, boolean ready,
			boolean leaving, int open, int links, long requests, List<TargetDump> targets) {
	}

	/**
	 * State of a target as seen by an entry process. Immutable.
	 *
	 * @param name name of the target
	 * @param dataCentre data centre of the target
	 * @param open whether a session is open
	 * @param session number of the newest session; 0 before the first
	 * @param outstanding attempts at the target that have not ended
	 * @param load load reported last
	 */
	public record TargetDump(String name, String dataCentre, boolean open, long session, int outstanding,
			TargetLoad load) {
	}

	/**
	 * Handle by which the caller's side controls a generation. Thread-safe.
	 */
	public static final class GenerationHandle extends RequestHandle {

		/**
		 * {@code null} until the control thread has created the request; confined to it.
		 */
		private GenerationRequest generation;

		private GenerationHandle(Scheduler scheduler) {
			super(scheduler);
		}

		/**
		 * Acknowledges the tokens that the caller has read.
		 * @param nextUnreadIndex index of the first token not read
		 */
		public void acknowledge(int nextUnreadIndex) {
			execute(() -> {
				if (this.generation != null) {
					this.generation.acknowledge(nextUnreadIndex);
				}
			});
		}

	}

}
