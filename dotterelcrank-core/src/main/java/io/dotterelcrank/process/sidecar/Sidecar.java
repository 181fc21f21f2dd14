package io.dotterelcrank.process.sidecar;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.ExecutionContext;
import io.dotterelcrank.common.LogEvent;
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
import io.dotterelcrank.process.platform.PlatformException;
import io.dotterelcrank.process.platform.ServiceClient;
import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ConfigurationHolder;
import io.dotterelcrank.version.ConfigurationUpdater;
import io.dotterelcrank.version.Setting;

/**
 * The sidecar of one target. It alone decides what its target takes. Invariants: no work
 * is taken while the target leaves, its host is drained or its data centre is out; no
 * message of a fenced session has an effect. The link listener may be called on any
 * thread; all other state belongs to the control thread.
 */
public final class Sidecar implements Link.Listener {

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(Sidecar.class);

	/** Time between checks whether a planned stop is complete, in milliseconds. */
	private static final long LEAVE_CHECK_MILLIS = 100;

	/** Who this sidecar is. */
	private final SidecarIdentity identity;

	/** Configuration in force. */
	private final ConfigurationHolder holder;

	/** Clock and threads. */
	private final ExecutionContext threads;

	/** Runs the decisions. */
	private final Scheduler scheduler;

	/** The engine, or {@code null} beside a plain service. */
	private final EngineClient engine;

	/** Gives orders to the engine, or {@code null} beside a plain service. */
	private final OrderReconciler orders;

	/** Admits requests. */
	private final AdmissionController admission;

	/** Keeps one session of each entry process. */
	private final SessionFence sessions;

	/** Configuration exchange with the entry hosts. */
	private final HeartbeatExchange exchange;

	/** Generations of an engine. */
	private final Generations generations;

	/** Calls to a plain service. */
	private final Calls calls;

	/** Number of work items refused. */
	private long refused;

	/** Whether a planned stop has begun. */
	private boolean leaving;

	/** Whether a removal by operators is in force for this target. */
	private boolean removed;

	/** Complete when a planned stop is complete. */
	private final CompletableFuture<Void> left = new CompletableFuture<>();

	private Sidecar(SidecarIdentity identity, Target target, ConfigurationHolder holder, ConfigurationUpdater feed,
			AdmissionPolicy policy, ExecutionContext threads) {
		this.identity = identity;
		this.holder = holder;
		this.threads = threads;
		this.scheduler = threads.scheduler();
		this.engine = target.engine();
		this.orders = target.orders();
		int coldLimit = (int) holder.current().value(Setting.COLD_LIMIT_REQUESTS, identity.subject());
		this.admission = AdmissionController.of(policy, AdmissionState.unknown(coldLimit),
				() -> Limits.of(holder.current(), identity.subject()), threads.clock());
		this.sessions = new SessionFence(threads.clock());
		this.generations = new Generations(identity, target.engine(), this.admission, holder, threads);
		this.calls = new Calls(identity, target.service(), this.admission, target.claims(), threads);
		this.exchange = HeartbeatExchange.ofSidecar(holder, feed, this::load, threads.clock(), this.scheduler);
		holder.onChange((configuration) -> this.scheduler.execute(() -> configurationChanged(configuration)));
	}

	/**
	 * Starts the sidecar of a model engine.
	 * @param identity who it is
	 * @param engine the engine
	 * @param orders gives orders to the engine
	 * @param holder configuration in force
	 * @param feed keeps the configuration up to date
	 * @param policy decides whether a request fits
	 * @param threads clock and threads
	 * @return a running sidecar
	 */
	public static Sidecar besideEngine(SidecarIdentity identity, EngineClient engine, OrderReconciler orders,
			ConfigurationHolder holder, ConfigurationUpdater feed, AdmissionPolicy policy, ExecutionContext threads) {
		Target target = new Target(engine, orders, null, null);
		Sidecar sidecar = new Sidecar(identity, target, holder, feed, policy, threads);
		threads.scheduler().scheduleWithFixedDelay(Generations.TICK_MILLIS, sidecar.generations::tick);
		threads.scheduler().execute(sidecar::readReport);
		return sidecar;
	}

	/**
	 * Starts the sidecar of a plain service.
	 * @param identity who it is
	 * @param service the service
	 * @param claims claims on idempotency keys
	 * @param holder configuration in force
	 * @param feed keeps the configuration up to date
	 * @param policy decides whether a request fits
	 * @param threads clock and threads
	 * @return a running sidecar
	 */
	public static Sidecar besideService(SidecarIdentity identity, ServiceClient service, Claims claims,
			ConfigurationHolder holder, ConfigurationUpdater feed, AdmissionPolicy policy, ExecutionContext threads) {
		Target target = new Target(null, null, service, claims);
		Sidecar sidecar = new Sidecar(identity, target, holder, feed, policy, threads);
		threads.scheduler().scheduleWithFixedDelay(Generations.TICK_MILLIS, sidecar.calls::tick);
		return sidecar;
	}

	@Override
	public void opened(Link link) {
		// The entry host introduces itself first.
	}

	@Override
	public void received(Link link, long version, Message message) {
		if (message instanceof Message.Acknowledge acknowledge) {
			this.generations.acknowledge(link, acknowledge);
			return;
		}
		this.scheduler.execute(() -> handle(link, version, message));
	}

	@Override
	public void writable(Link link) {
		this.scheduler.execute(this.generations::writable);
	}

	@Override
	public void closed(Link link) {
		this.exchange.remove(link);
		this.scheduler.execute(() -> {
			this.sessions.closed(link);
			this.generations.closed(link);
		});
	}

	private void handle(Link link, long version, Message message) {
		if (message instanceof Message.Hello hello) {
			introduce(link, hello);
			return;
		}
		if (!this.sessions.accepts(link)) {
			LogEvent.SESSION_FENCED.log(logger, message.getClass().getSimpleName(), link.peerAddress());
			link.close();
			return;
		}
		if (this.exchange.handle(link, version, message)) {
			return;
		}
		dispatch(link, message);
	}

	private void introduce(Link link, Message.Hello hello) {
		SessionFence.Verdict verdict = this.sessions.introduce(hello, link);
		if (!verdict.accepted()) {
			LogEvent.SESSION_FENCED.log(logger, hello.session(), hello.process());
			link.close();
			return;
		}
		if (verdict.replaced() != null) {
			this.exchange.remove(verdict.replaced());
			verdict.replaced().close();
			this.generations.closed(verdict.replaced());
		}
		link.send(new Message.Welcome(this.identity.target(), this.identity.incarnation(), load()));
		this.exchange.add(link);
	}

	private void dispatch(Link link, Message message) {
		if (message instanceof Message.Generate generate) {
			if (takes(link, generate.generation().id())) {
				this.generations.generate(link, generate.generation());
			}
		}
		else if (message instanceof Message.Resume resume) {
			this.generations.resume(link, resume);
		}
		else if (message instanceof Message.Reserve reserve) {
			if (takes(link, reserve.id())) {
				this.calls.reserve(link, reserve);
			}
		}
		else if (message instanceof Message.Invoke invoke) {
			if (this.calls.known(invoke.call().id()) || takes(link, invoke.call().id())) {
				this.calls.invoke(link, invoke.call());
			}
		}
		else if (message instanceof Message.QueryOutcome resolve) {
			this.calls.resolve(link, resolve.id());
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
	 * Refuses new work that this target must not take.
	 * @param link link that it came on
	 * @param id id of the attempt
	 * @return whether the work may be taken
	 */
	private boolean takes(Link link, String id) {
		Optional<Failure> refusal = refusal();
		refusal.ifPresent((failure) -> {
			this.refused++;
			link.send(new Message.Failed(id, failure, load()));
		});
		return refusal.isEmpty();
	}

	private Optional<Failure> refusal() {
		Configuration configuration = this.holder.current();
		if (!this.holder.ready()) {
			return Optional.of(Failure.notRun(ResultCode.NOT_READY, "the target knows no configuration yet"));
		}
		if (configuration.dataCentreOut(this.identity.dataCentre())) {
			return Optional.of(Failure.notRun(ResultCode.DATA_CENTRE_OUT, this.identity.dataCentre() + " is out"));
		}
		if (this.leaving || configuration.hostDrained(this.identity.target())) {
			return Optional.of(Failure.notRun(ResultCode.TARGET_LEAVING, this.identity.target() + " is leaving"));
		}
		return Optional.empty();
	}

	/**
	 * Starts the ramp again when a removal ends, since the target may have been stopped
	 * or changed meanwhile, and its caches are cold.
	 * @param configuration configuration in force
	 */
	private void configurationChanged(Configuration configuration) {
		boolean nowRemoved = configuration.dataCentreOut(this.identity.dataCentre())
				|| configuration.hostDrained(this.identity.target());
		if (this.removed && !nowRemoved) {
			this.admission.state().restarted();
		}
		this.removed = nowRemoved;
	}

	private void readReport() {
		this.threads.io().execute(() -> {
			try {
				EngineClient.Report report = this.engine.report();
				this.scheduler.execute(() -> reported(report));
			}
			catch (PlatformException ex) {
				LogEvent.LOAD_UNREADABLE.log(logger, this.identity.target(), ex.getMessage());
				this.scheduler.execute(() -> this.admission.state().restarted());
			}
			long intervalMillis = this.holder.current().value(Setting.LOAD_INTERVAL_MILLIS, this.identity.subject());
			this.scheduler.schedule(intervalMillis, this::readReport);
		});
	}

	/**
	 * Takes in a load report. Generations that this sidecar did not start are those of a
	 * predecessor; their memory is what the engine uses beyond the own ones.
	 * @param report the report
	 */
	private void reported(EngineClient.Report report) {
		long foreign = report.generations().stream().filter((id) -> !this.generations.own(id)).count();
		long ownTokens = this.admission.state().ownTokens();
		long foreignTokens = (foreign == 0) ? 0 : Math.max(0, report.usedTokens() - ownTokens);
		this.admission.state().recordMemory(report.memoryTokens(), foreignTokens, (int) foreign);
		this.admission.state().recordPreemptions(report.preemptions());
		this.orders.reconcile(report.held());
	}

	private TargetLoad load() {
		return this.admission.load(refusal().isPresent());
	}

	/**
	 * Begins a planned stop: takes nothing new, and finishes what runs. A second call
	 * changes nothing.
	 * @return complete when nothing is left to finish
	 */
	public CompletableFuture<Void> beginShutdown() {
		this.scheduler.execute(() -> {
			if (!this.leaving) {
				this.leaving = true;
				LogEvent.PROCESS_LEAVING.log(logger, this.identity.target(), open());
				this.exchange.sendHeartbeats();
				checkLeft();
			}
		});
		return this.left;
	}

	private void checkLeft() {
		if (open() == 0) {
			this.left.complete(null);
			return;
		}
		this.scheduler.schedule(LEAVE_CHECK_MILLIS, this::checkLeft);
	}

	private int open() {
		return this.generations.open() + this.calls.open();
	}

	/**
	 * Registers the metrics of this sidecar.
	 * @param metrics takes the metrics
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
	 * Returns the state of the sidecar. Waits for the control thread.
	 * @return what a dump shows
	 */
	public Dump dump() {
		return dumpAsync().join();
	}

	/**
	 * Asks for the state of the sidecar.
	 * @return complete when the control thread has taken it
	 */
	public CompletableFuture<Dump> dumpAsync() {
		CompletableFuture<Dump> dump = new CompletableFuture<>();
		this.scheduler.execute(() -> dump.complete(takeDump()));
		return dump;
	}

	private Dump takeDump() {
		AdmissionState state = this.admission.state();
		return new Dump(this.identity, this.holder.current().version(), this.holder.ready(), load(), open(),
				this.generations.size(), this.calls.size(), this.admission.waiting(), state.ramp().limit(),
				state.ramp().warm(), state.stepMillis(), state.foreignTokens(), state.preemptions(), this.refused,
				this.exchange.linkCount(), this.sessions.size(), this.leaving);
	}

	/**
	 * State of a sidecar. Immutable.
	 *
	 * @param identity who it is
	 * @param configurationVersion version in force
	 * @param ready whether a configuration is known
	 * @param load load told to entry hosts
	 * @param open requests not yet finished
	 * @param generations generations kept, with ended ones that can be resumed
	 * @param attempts attempts of calls remembered
	 * @param waiting requests waiting for admission
	 * @param rampLimit limit while warming up
	 * @param warm whether the target is warm
	 * @param stepMillis last step time in milliseconds
	 * @param foreignTokens engine memory of a predecessor's generations, in tokens
	 * @param preemptions preemptions reported by the engine
	 * @param refused requests refused because of a removal or a stop
	 * @param links open links to entry hosts
	 * @param sessions entry processes remembered
	 * @param leaving whether a planned stop has begun
	 */
	public record Dump(SidecarIdentity identity, long configurationVersion, boolean ready, TargetLoad load, int open,
			int generations, int attempts, int waiting, int rampLimit, boolean warm, double stepMillis,
			long foreignTokens, long preemptions, long refused, int links, int sessions, boolean leaving) {
	}

	/**
	 * What stands beside the sidecar. Immutable.
	 *
	 * @param engine the engine, or {@code null}
	 * @param orders gives orders to the engine, or {@code null}
	 * @param service the plain service, or {@code null}
	 * @param claims claims on keys, or {@code null}
	 */
	private record Target(EngineClient engine, OrderReconciler orders, ServiceClient service, Claims claims) {
	}

}
