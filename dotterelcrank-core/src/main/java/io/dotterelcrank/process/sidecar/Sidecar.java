package io.dotterelcrank.process.sidecar;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.common.PlatformException;
import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.HeartbeatExchange;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.TargetLoad;
import io.dotterelcrank.process.admission.AdmissionController;
import io.dotterelcrank.process.admission.AdmissionPolicy;
import io.dotterelcrank.process.admission.AdmissionState;
import io.dotterelcrank.process.admission.Limits;
import io.dotterelcrank.process.claim.Claims;
import io.dotterelcrank.process.order.OrderReconciler;
import io.dotterelcrank.process.platform.EngineClient;
import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.ConfigurationUpdater;
import io.dotterelcrank.version.Setting;

/**
 * Sidecar of one target, the only process that admits work to it. Invariants: no new work
 * is admitted while the sidecar shuts down, the host is drained or the data centre is
 * taken out of service; messages of a fenced session have no effect. The link listener
 * may be called on any thread; all other state is confined to the control thread.
 */
public final class Sidecar implements Link.Listener {

	private static final Logger logger = LoggerFactory.getLogger(Sidecar.class);

	/** Interval at which a shutdown checks whether all requests have ended. */
	private static final long DRAIN_CHECK_INTERVAL_MILLIS = 100;

	private final SidecarIdentity identity;

	private final ConfigurationHolder holder;

	private final ExecutionContext context;

	/** Runs tasks on the control thread. */
	private final Scheduler scheduler;

	/** {@code null} for a plain service. */
	private final EngineClient engine;

	/** {@code null} for a plain service. */
	private final OrderReconciler orders;

	private final AdmissionController admission;

	private final SessionFence sessions;

	/** Heartbeats and configuration exchange with the entry processes. */
	private final HeartbeatExchange exchange;

	private final Generations generations;

	private final Calls calls;

	private final PendingCancels pendingCancels = new PendingCancels();

	/**
	 * Requests refused while draining, taken out of service or without a configuration.
	 */
	private long refusedCount;

	private boolean draining;

	/**
	 * Whether operators have drained the host or taken its data centre out of service.
	 */
	private boolean removedByOperators;

	/** Completes when a shutdown has finished all requests. */
	private final CompletableFuture<Void> drained = new CompletableFuture<>();

	private Sidecar(SidecarIdentity identity, TargetClients clients, ConfigurationHolder holder,
			ConfigurationUpdater updater, AdmissionPolicy policy, ExecutionContext context) {
		this.identity = identity;
		this.holder = holder;
		this.context = context;
		this.scheduler = context.scheduler();
		this.engine = clients.engine();
		this.orders = clients.orders();
		int coldLimit = (int) holder.current().value(Setting.COLD_LIMIT_REQUESTS, identity.subject());
		this.admission = AdmissionController.of(policy, AdmissionState.cold(coldLimit),
				() -> Limits.of(holder.current(), identity.subject()), context.clock());
		this.sessions = new SessionFence(context.clock());
		this.generations = new Generations(identity, clients.engine(), this.admission, holder, context);
		this.calls = new Calls(identity, clients.service(), this.admission, clients.claims(), context);
		this.exchange = HeartbeatExchange.ofSidecar(holder, updater, this::currentLoad, context.clock(),
				this.scheduler);
		holder.onChange((configuration) -> this.scheduler.execute(() -> configurationChanged(configuration)));
	}

	/**
	 * Starts the sidecar of a model engine.
	 * @param identity identity of the sidecar
	 * @param engine client of the engine
	 * @param orders sends placement orders to the engine
	 * @param holder current configuration
	 * @param updater keeps the configuration up to date
	 * @param policy decides whether a request fits on the target
	 * @param context clock, control thread and executor for blocking calls
	 * @return a running sidecar
	 */
	public static Sidecar startForEngine(SidecarIdentity identity, EngineClient engine, OrderReconciler orders,
			ConfigurationHolder holder, ConfigurationUpdater updater, AdmissionPolicy policy,
			ExecutionContext context) {
		TargetClients clients = new TargetClients(engine, orders, null, null);
		Sidecar sidecar = new Sidecar(identity, clients, holder, updater, policy, context);
		context.scheduler().scheduleWithFixedDelay(Generations.TICK_MILLIS, sidecar.generations::tick);
		context.scheduler().execute(sidecar::pollEngineReport);
		return sidecar;
	}

	/**
	 * Starts the sidecar of a plain service.
	 * @param identity identity of the sidecar
	 * @param service client of the service
	 * @param claims claims on idempotency keys
	 * @param holder current configuration
	 * @param updater keeps the configuration up to date
	 * @param policy decides whether a request fits on the target
	 * @param context clock, control thread and executor for blocking calls
	 * @return a running sidecar
	 */
	public static Sidecar startForService(SidecarIdentity identity, ServiceClient service, Claims claims,
			ConfigurationHolder holder, ConfigurationUpdater updater, AdmissionPolicy policy,
			ExecutionContext context) {
		TargetClients clients = new TargetClients(null, null, service, claims);
		Sidecar sidecar = new Sidecar(identity, clients, holder, updater, policy, context);
		context.scheduler().scheduleWithFixedDelay(Generations.TICK_MILLIS, sidecar.calls::admitWaiting);
		return sidecar;
	}

	@Override
	public void opened(Link link) {
		// The entry process sends Hello first.
	}

	@Override
	public void received(Link link, long version, Message message) {
		if (message instanceof Message.Acknowledge acknowledge) {
			this.generations.acknowledge(link, acknowledge);
			return;
		}
		this.pendingCancels.recordReceived(link, message);
		this.scheduler.execute(() -> handle(link, version, message));
	}

	@Override
	public void writable(Link link) {
		this.scheduler.execute(this.generations::linkWritable);
	}

	@Override
	public void closed(Link link) {
		this.exchange.remove(link);
		this.scheduler.execute(() -> {
			this.sessions.linkClosed(link);
			endSession(link);
		});
	}

	private void handle(Link link, long version, Message message) {
		this.pendingCancels.removeHandled(link, message);
		if (message instanceof Message.Hello hello) {
			handleHello(link, hello);
			return;
		}
		if (!this.sessions.isCurrent(link)) {
			LogEvent.SESSION_FENCED.log(logger, message.getClass().getSimpleName(), link.peerAddress());
			link.close();
			return;
		}
		if (this.exchange.handle(link, version, message)) {
			return;
		}
		dispatch(link, message);
	}

	private void handleHello(Link link, Message.Hello hello) {
		SessionFence.Registration result = this.sessions.register(hello, link);
		if (!result.accepted()) {
			LogEvent.SESSION_FENCED.log(logger, hello.session(), hello.process());
			link.close();
			return;
		}
		if (result.replaced() != null) {
			this.exchange.remove(result.replaced());
			result.replaced().close();
			endSession(result.replaced());
		}
		link.send(new Message.Welcome(this.identity.target(), this.identity.incarnation(), currentLoad()));
		this.exchange.add(link);
	}

	private void endSession(Link link) {
		this.generations.linkClosed(link);
		this.calls.linkClosed(link);
	}

	private void dispatch(Link link, Message message) {
		if (message instanceof Message.Generate generate) {
			if (acceptsNewWork(link, generate.generation().id())) {
				this.generations.generate(link, generate.generation());
			}
		}
		else if (message instanceof Message.Resume resume) {
			this.generations.resume(link, resume);
		}
		else if (message instanceof Message.Reserve reserve) {
			if (acceptsNewWork(link, reserve.id())) {
				this.calls.reserve(link, reserve);
			}
		}
		else if (message instanceof Message.Invoke invoke) {
			String id = invoke.call().id();
			boolean reserved = this.calls.isKnown(id) && !this.pendingCancels.contains(link, id);
			if (reserved || acceptsNewWork(link, id)) {
				this.calls.invoke(link, invoke.call());
			}
		}
		else if (message instanceof Message.QueryOutcome query) {
			this.calls.reportOutcome(link, query.id());
		}
		else if (message instanceof Message.Cancel cancel) {
			cancel(link, cancel.id());
		}
	}

	private void cancel(Link link, String id) {
		if (this.identity.servesModel()) {
			this.generations.cancel(link, id);
		}
		else {
			this.calls.cancel(link, id);
		}
	}

	/**
	 * Checks whether the target may accept new work, and sends a failure if not. A
	 * request whose cancellation has been received is dropped: the cancellation is
	 * answered.
	 * @param link link on which the request was received
	 * @param id id of the attempt
	 * @return {@code false} if the request was refused or dropped
	 */
	private boolean acceptsNewWork(Link link, String id) {
		if (this.pendingCancels.contains(link, id)) {
			return false;
		}
		Optional<Failure> refusal = refusal();
		refusal.ifPresent((failure) -> {
			this.refusedCount++;
			link.send(new Message.Failed(id, failure, currentLoad()));
		});
		return refusal.isEmpty();
	}

	private Optional<Failure> refusal() {
		Configuration configuration = this.holder.current();
		if (!this.holder.ready()) {
			return Optional
				.of(Failure.notRun(ResultCode.NOT_READY, "the sidecar has not received a configuration yet"));
		}
		if (configuration.dataCentreOut(this.identity.dataCentre())) {
			return Optional
				.of(Failure.notRun(ResultCode.DATA_CENTRE_OUT, this.identity.dataCentre() + " is out of service"));
		}
		if (this.draining || configuration.hostDrained(this.identity.target())) {
			return Optional.of(Failure.notRun(ResultCode.TARGET_LEAVING, this.identity.target() + " is draining"));
		}
		return Optional.empty();
	}

	/**
	 * Restarts slow start when operators return the target to service: it may have been
	 * stopped or changed meanwhile, and its caches are cold.
	 * @param configuration the new configuration
	 */
	private void configurationChanged(Configuration configuration) {
		boolean removedNow = configuration.dataCentreOut(this.identity.dataCentre())
				|| configuration.hostDrained(this.identity.target());
		if (this.removedByOperators && !removedNow) {
			this.admission.state().restartRamp();
		}
		this.removedByOperators = removedNow;
	}

	/**
	 * Reads the load report of the engine, and schedules the next read. If the engine
	 * does not respond, slow start begins again.
	 */
	private void pollEngineReport() {
		this.context.io().execute(() -> {
			try {
				EngineClient.Report report = this.engine.report();
				this.scheduler.execute(() -> updateFromReport(report));
			}
			catch (PlatformException ex) {
				LogEvent.LOAD_UNREADABLE.log(logger, this.identity.target(), ex.getMessage());
				this.scheduler.execute(() -> this.admission.state().restartRamp());
			}
			long intervalMillis = this.holder.current().value(Setting.LOAD_INTERVAL_MILLIS, this.identity.subject());
			this.scheduler.schedule(intervalMillis, this::pollEngineReport);
		});
	}

	/**
	 * Updates the admission state from a load report of the engine, and orders a
	 * placement if the engine does not serve the published one. Generations that this
	 * process did not start were inherited from its predecessor; their memory is what the
	 * engine uses beyond that of the own generations.
	 * @param report the report
	 */
	private void updateFromReport(EngineClient.Report report) {
		long inheritedCount = report.generations()
			.stream()
			.filter((id) -> !this.generations.startedByThisProcess(id))
			.count();
		long ownTokens = this.admission.state().admittedTokens();
		long inheritedTokens = (inheritedCount == 0) ? 0 : Math.max(0, report.usedTokens() - ownTokens);
		this.admission.state().recordMemory(report.memoryTokens(), inheritedTokens, (int) inheritedCount);
		this.admission.state().recordPreemptions(report.preemptions());
		this.orders.reconcile(report.held());
	}

	private TargetLoad currentLoad() {
		return this.admission.load(refusal().isPresent());
	}

	/**
	 * Begins a graceful shutdown: refuses new work and completes open requests. Further
	 * calls have no effect.
	 * @return completes when no request is open
	 */
	public CompletableFuture<Void> beginShutdown() {
		this.scheduler.execute(() -> {
			if (!this.draining) {
				this.draining = true;
				LogEvent.PROCESS_STOPPING.log(logger, this.identity.target(), openCount());
				this.exchange.sendHeartbeats();
				checkDrained();
			}
		});
		return this.drained;
	}

	private void checkDrained() {
		if (openCount() == 0) {
			this.drained.complete(null);
			return;
		}
		this.scheduler.schedule(DRAIN_CHECK_INTERVAL_MILLIS, this::checkDrained);
	}

	private int openCount() {
		return this.generations.openCount() + this.calls.openCount();
	}

	/**
	 * Registers the metrics of this sidecar.
	 * @param metrics registry to which gauges named {@code sidecar.*} are added
	 */
	public void register(MetricRegistry metrics) {
		metrics.register("sidecar.open", (Gauge<Integer>) () -> dump().open());
		metrics.register("sidecar.waiting", (Gauge<Integer>) () -> dump().waiting());
		metrics.register("sidecar.refused", (Gauge<Long>) () -> dump().refused());
		metrics.register("sidecar.preemptions", (Gauge<Long>) () -> dump().preemptions());
		metrics.register("sidecar.step-millis", (Gauge<Double>) () -> dump().stepMillis());
		metrics.register("sidecar.links", (Gauge<Integer>) () -> dump().links());
	}

	/**
	 * Returns a snapshot of the state. Blocks until the control thread has taken it.
	 * @return the snapshot
	 */
	public Dump dump() {
		return dumpAsync().join();
	}

	/**
	 * Requests a snapshot of the state without blocking.
	 * @return completes when the control thread has taken the snapshot
	 */
	public CompletableFuture<Dump> dumpAsync() {
		CompletableFuture<Dump> dump = new CompletableFuture<>();
		this.scheduler.execute(() -> dump.complete(takeDump()));
		return dump;
	}

	private Dump takeDump() {
		AdmissionState state = this.admission.state();
		return new Dump(this.identity, this.holder.current().version(), this.holder.ready(), currentLoad(), openCount(),
				this.generations.size(), this.calls.size(), this.admission.queueLength(), state.ramp().limit(),
				state.ramp().warm(), state.stepMillis(), state.foreignTokens(), state.preemptions(), this.refusedCount,
				this.exchange.linkCount(), this.sessions.size(), this.draining);
	}

	/**
	 * Snapshot of the state of a sidecar. Immutable.
	 *
	 * @param identity identity of the sidecar
	 * @param configurationVersion version of the current configuration
	 * @param ready whether a configuration has been received
	 * @param load load reported to entry processes
	 * @param open requests that have not ended
	 * @param generations generations tracked, including ended ones that can still be
	 * resumed
	 * @param attempts call attempts tracked, including ended ones
	 * @param waiting requests waiting for admission
	 * @param rampLimit limit on concurrent requests during slow start
	 * @param warm whether slow start has ended
	 * @param stepMillis last step time, in milliseconds
	 * @param foreignTokens engine memory used by generations inherited from the
	 * predecessor, in tokens
	 * @param preemptions preemptions reported by the engine
	 * @param refused requests refused while draining, taken out of service or without a
	 * configuration
	 * @param links open links to entry processes
	 * @param sessions entry processes whose newest session is known
	 * @param leaving whether a graceful shutdown has begun
	 */
	public record Dump(SidecarIdentity identity, long configurationVersion, boolean ready, TargetLoad load, int open,
			int generations, int attempts, int waiting, int rampLimit, boolean warm, double stepMillis,
			long foreignTokens, long preemptions, long refused, int links, int sessions, boolean leaving) {
	}

	/**
	 * Clients for the target. Only those for its kind are set. Immutable.
	 *
	 * @param engine client of the engine, or {@code null}
	 * @param orders sends placement orders to the engine, or {@code null}
	 * @param service client of the plain service, or {@code null}
	 * @param claims claims on idempotency keys, or {@code null}
	 */
	private record TargetClients(EngineClient engine, OrderReconciler orders, ServiceClient service, Claims claims) {
	}

}
