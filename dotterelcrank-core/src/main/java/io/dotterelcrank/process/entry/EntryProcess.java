package io.dotterelcrank.process.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.Clock;
import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.HeartbeatExchange;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.connection.Transport;
import io.dotterelcrank.process.platform.HostList;
import io.dotterelcrank.process.platform.LogClient;
import io.dotterelcrank.process.platform.PlatformException;
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
import io.dotterelcrank.version.Setting;
import io.dotterelcrank.version.Subject;

/**
 * An entry process: takes callers' requests and brings them to targets. Keeps nothing
 * that must outlast it. Methods for callers may be called on any thread; all state
 * belongs to the control thread.
 */
public final class EntryProcess {

	/** Time between readings of the host list, in milliseconds. */
	static final long HOST_LIST_MILLIS = 4_000;

	/** Time between checks for silent links, in milliseconds. */
	static final long CHECK_MILLIS = 500;

	/** Time within which a target must be reached, in milliseconds. */
	static final long CONNECT_LIMIT_MILLIS = 1_500;

	/** Advice on when to try again while no target takes work, in milliseconds. */
	static final long NO_TARGET_RETRY_MILLIS = 1_000;

	/**
	 * Age up to which the host list is not read again for a target that it lacks, in
	 * milliseconds.
	 */
	static final long LIST_FRESH_MILLIS = 250;

	/** Time between checks whether a planned stop is complete, in milliseconds. */
	private static final long LEAVE_CHECK_MILLIS = 100;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(EntryProcess.class);

	/** Who this process is. */
	private final EntryIdentity identity;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Keeps the configuration up to date. */
	private final ConfigurationUpdater feed;

	/** The host list. */
	private final HostList hostList;

	/** Clock and threads. */
	private final ExecutionContext threads;

	/** Configuration exchange with the sidecars. */
	private final HeartbeatExchange exchange;

	/** The targets known. */
	private final Targets targets;

	/** Bounds retries. */
	private final RetryBudget retryBudget = RetryBudget.full();

	/** Requests that have not ended. */
	private final Set<Attempt> open = new HashSet<>();

	/** Requests so far. */
	private final Counter requests = new Counter();

	/** Number of ids given out. */
	private long ids;

	/** When the host list was last read, in milliseconds. */
	private long listReadMillis;

	/** Whether the host list has named a target. */
	private volatile boolean targetsListed;

	/** Whether a planned stop has begun. */
	private volatile boolean leaving;

	private EntryProcess(EntryIdentity identity, HostList hostList, ConfigurationAccess platform, RoutingPolicy policy,
			Transport transport, ExecutionContext threads) {
		this.identity = identity;
		this.holder = platform.holder();
		this.hostList = hostList;
		this.threads = threads;
		this.feed = ConfigurationUpdater.of(identity.name(), platform.log(), platform.holder(), threads.clock(),
				threads.scheduler(), threads.io(), this::entryHosts);
		this.exchange = HeartbeatExchange.ofEntry(platform.holder(), this.feed, threads.clock(), threads.scheduler());
		this.targets = new Targets(identity, platform.holder(), policy, transport, this.exchange, threads);
	}

	/**
	 * Starts an entry process.
	 * @param identity who it is
	 * @param hostList the host list
	 * @param platform log and configuration
	 * @param policy chooses targets
	 * @param transport opens connections
	 * @param threads clock and threads
	 * @return a running entry process
	 */
	public static EntryProcess start(EntryIdentity identity, HostList hostList, ConfigurationAccess platform,
			RoutingPolicy policy, Transport transport, ExecutionContext threads) {
		EntryProcess entry = new EntryProcess(identity, hostList, platform, policy, transport, threads);
		entry.feed.start();
		Runnable readList = () -> entry.readHostList((read) -> {
		});
		threads.scheduler().execute(readList);
		threads.scheduler().scheduleWithFixedDelay(HOST_LIST_MILLIS, readList);
		threads.scheduler().scheduleWithFixedDelay(CHECK_MILLIS, entry.targets::check);
		threads.scheduler().scheduleWithFixedDelay(Targets.HEARTBEAT_INTERVAL_MILLIS, entry.targets::beat);
		return entry;
	}

	private List<String> entryHosts() {
		return (this.targets != null) ? this.targets.entryHosts() : List.of(this.identity.name());
	}

	/**
	 * Reads the host list.
	 * @param then hears on the control thread whether it was read
	 */
	void readHostList(Consumer<Boolean> then) {
		this.threads.io().execute(() -> {
			try {
				List<HostList.Host> hosts = this.hostList.hosts();
				this.threads.scheduler().execute(() -> {
					this.targets.listed(hosts);
					this.listReadMillis = this.threads.clock().millis();
					this.targetsListed |= !this.targets.all().isEmpty();
					then.accept(true);
				});
			}
			catch (PlatformException ex) {
				LogEvent.HOST_LIST_UNREADABLE.log(logger, ex.getMessage());
				this.threads.scheduler().execute(() -> then.accept(false));
			}
		});
	}

	/**
	 * Tells whether the host list was read just now.
	 * @return {@code true} if reading it again would tell nothing new
	 */
	boolean listFresh() {
		return this.threads.clock().millis() - this.listReadMillis < LIST_FRESH_MILLIS;
	}

	/**
	 * Starts a generation.
	 * @param request the request; its id is ignored
	 * @param caller hears tokens and end
	 * @return handle of the caller
	 */
	public GenerationHandle generate(Generation request, GenerationListener caller) {
		return submit(() -> new GenerationRequest(this, request, caller), GenerationRequest::start, caller::failed);
	}

	/**
	 * Continues a generation that a caller read before, perhaps through another entry
	 * host.
	 * @param request workspace and deadline of the caller
	 * @param last id of the last event that the caller received
	 * @param caller hears tokens and end
	 * @return handle of the caller
	 */
	public GenerationHandle resume(Generation request, EventId last, GenerationListener caller) {
		return submit(() -> new GenerationRequest(this, request, caller), (started) -> started.continueAfter(last),
				caller::failed);
	}

	private GenerationHandle submit(Supplier<GenerationRequest> request, Consumer<GenerationRequest> start,
			Consumer<Failure> refusal) {
		GenerationHandle handle = new GenerationHandle();
		this.threads.scheduler().execute(() -> {
			Failure refused = refusal();
			if (refused != null) {
				refusal.accept(refused);
				return;
			}
			accepted();
			GenerationRequest created = request.get();
			handle.request = created;
			this.open.add(created);
			start.accept(created);
		});
		return handle;
	}

	/**
	 * Sends a call to a plain service.
	 * @param call the call; its id is ignored
	 * @param caller hears the end
	 */
	public void call(ServiceCall call, CallListener caller) {
		this.threads.scheduler().execute(() -> {
			Failure refused = refusal();
			if (refused != null) {
				caller.failed(refused);
				return;
			}
			accepted();
			CallRequest request = new CallRequest(this, call, caller);
			this.open.add(request);
			request.start();
		});
	}

	private void accepted() {
		this.requests.inc();
		this.retryBudget.recordRequest(this.holder.current().value(Setting.RETRY_BUDGET_PERCENT, Subject.FLEET));
	}

	private Failure refusal() {
		return ready() ? null
				: Failure.notRun(ResultCode.NOT_READY, "this entry host knows no configuration, or no target, yet")
					.withRetryAfter(HOST_LIST_MILLIS);
	}

	/**
	 * Tells whether requests can be taken.
	 * @return {@code true} once configuration and targets are known
	 */
	public boolean ready() {
		return this.holder.ready() && this.targetsListed;
	}

	/**
	 * Begins a planned stop. Requests are still taken, since the balancer may not have
	 * noticed yet; {@link #leaving} tells it.
	 */
	public void beginShutdown() {
		this.leaving = true;
		LogEvent.PROCESS_LEAVING.log(logger, this.identity.name(), dump().open());
	}

	/**
	 * Waits until all requests have ended.
	 * @return complete when none is open
	 */
	public CompletableFuture<Void> whenDrained() {
		CompletableFuture<Void> drained = new CompletableFuture<>();
		this.threads.scheduler().execute(() -> checkDrained(drained));
		return drained;
	}

	private void checkDrained(CompletableFuture<Void> drained) {
		if (this.open.isEmpty()) {
			drained.complete(null);
			return;
		}
		this.threads.scheduler().schedule(LEAVE_CHECK_MILLIS, () -> checkDrained(drained));
	}

	/**
	 * Tells whether a planned stop has begun.
	 * @return {@code true} if the balancer should send nothing more
	 */
	public boolean leaving() {
		return this.leaving;
	}

	/**
	 * Finds the target of an attempt. Belongs to the control thread.
	 * @param attempt id of the attempt
	 * @return name of the target, or nothing if the attempt has ended
	 */
	public Optional<String> targetOf(String attempt) {
		return this.targets.all()
			.stream()
			.filter((target) -> target.has(attempt))
			.map((target) -> target.host().name())
			.findFirst();
	}

	Clock clock() {
		return this.threads.clock();
	}

	Scheduler scheduler() {
		return this.threads.scheduler();
	}

	Targets targets() {
		return this.targets;
	}

	RetryBudget retryBudget() {
		return this.retryBudget;
	}

	long reconnectMillis() {
		return this.holder.current().value(Setting.RECONNECT_MILLIS, Subject.FLEET);
	}

	String nextId(String workspace) {
		return AttemptId.of(this.identity.name(), this.identity.incarnation(), ++this.ids, workspace);
	}

	void ended(Attempt request) {
		this.open.remove(request);
	}

	/**
	 * Registers the metrics of this process.
	 * @param metrics takes the metrics
	 */
	public void register(MetricRegistry metrics) {
		metrics.register("entry.requests", this.requests);
		metrics.register("entry.open", (Gauge<Integer>) () -> dump().open());
		metrics.register("entry.links", (Gauge<Integer>) () -> dump().links());
		metrics.register("entry.configuration-age-millis", (Gauge<Long>) this.feed::ageMillis);
	}

	/**
	 * Returns the state of the process. Waits for the control thread.
	 * @return what a dump shows
	 */
	public Dump dump() {
		CompletableFuture<Dump> dump = new CompletableFuture<>();
		this.threads.scheduler().execute(() -> dump.complete(takeDump()));
		return dump.join();
	}

	private Dump takeDump() {
		Function<TargetLink, TargetDump> view = (target) -> new TargetDump(target.host().name(),
				target.host().dataCentre(), target.open(), target.session(), target.outstanding(), target.load());
		return new Dump(this.identity, this.holder.current().version(), this.feed.ageMillis(), ready(), this.leaving,
				this.open.size(), this.exchange.linkCount(), this.requests.getCount(),
				this.targets.all().stream().map(view).toList());
	}

	/**
	 * Log and configuration of a process. Immutable.
	 *
	 * @param log the log
	 * @param holder configuration in force
	 */
	public record ConfigurationAccess(LogClient log, ConfigurationHolder holder) {
	}

	/**
	 * State of an entry process. Immutable.
	 *
	 * @param identity who it is
	 * @param configurationVersion version in force
	 * @param configurationAgeMillis time since it was known to be the newest, in
	 * milliseconds
	 * @param ready whether requests can be taken
	 * @param leaving whether a planned stop has begun
	 * @param open requests that have not ended
	 * @param links open links to sidecars
	 * @param requests requests so far
	 * @param targets targets known
	 */
	public record Dump(EntryIdentity identity, long configurationVersion, long configurationAgeMillis, boolean ready,
			boolean leaving, int open, int links, long requests, List<TargetDump> targets) {
	}

	/**
	 * State of one target as an entry process sees it. Immutable.
	 *
	 * @param name name of the target
	 * @param dataCentre its data centre
	 * @param open whether a session is open
	 * @param session number of the session
	 * @param outstanding requests at the target
	 * @param load load told last
	 */
	public record TargetDump(String name, String dataCentre, boolean open, long session, int outstanding,
			TargetLoad load) {
	}

	/**
	 * Handle of a generation's caller. Thread-safe.
	 */
	public final class GenerationHandle {

		/** The request, once the control thread has created it. */
		private GenerationRequest request;

		private GenerationHandle() {
		}

		/**
		 * Tells how far the caller has read.
		 * @param nextIndex index of the first token not read
		 */
		public void acknowledge(int nextIndex) {
			EntryProcess.this.threads.scheduler().execute(() -> {
				if (this.request != null) {
					this.request.read(nextIndex);
				}
			});
		}

		/**
		 * Tells that the caller is gone.
		 */
		public void disconnected() {
			EntryProcess.this.threads.scheduler().execute(() -> {
				if (this.request != null) {
					this.request.callerGone();
				}
			});
		}

	}

}
