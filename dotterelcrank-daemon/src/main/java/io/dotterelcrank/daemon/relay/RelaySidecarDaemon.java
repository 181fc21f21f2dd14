package io.dotterelcrank.daemon.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import io.dotterelcrank.common.LogEvent;
import io.dotterelcrank.connection.EngineLoad;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.daemon.wiring.Daemon;
import io.dotterelcrank.process.relay.AdmissionLedger;
import io.dotterelcrank.process.relay.EngineReport;

/**
 * A sidecar daemon that tells entry hosts the load of the engine beside it, and decides
 * which requests the engine takes. No request depends on it: without it, entry hosts know
 * only their own requests there. All state belongs to the control thread.
 */
public final class RelaySidecarDaemon implements Daemon {

	/** Time between two looks at the engine, in milliseconds. */
	static final long LOOK_MILLIS = 60;

	/** Longest time between two messages, in milliseconds. */
	static final long TELL_MILLIS = 1_000;

	/** Time without an answer after which a link is replaced, in milliseconds. */
	static final long SILENCE_MILLIS = 3_000;

	/** Time until a link that ended is opened again, in milliseconds. */
	static final long REOPEN_MILLIS = 500;

	/** Shortest time between two messages of mere load, in milliseconds. */
	static final long LEAST_MILLIS = 100;

	/** Stands for an engine that was not asked for its id. */
	private static final long NOT_ASKED = -1;

	/** Part of the memory by which the use must change to be told early. */
	static final double CHANGED_PART = 0.03;

	/** Change in the prompt tokens to read that is told early; a third of a prompt. */
	static final long CHANGED_TOKENS = 1_000;

	/** Logger of the class. */
	private static final Logger logger = LoggerFactory.getLogger(RelaySidecarDaemon.class);

	/** Settings. */
	private final RelaySidecarSettings settings;

	/** The platform. */
	private final RelayPlatform platform;

	/** Threads and connections. */
	private final RelayProcess process;

	/** Links to entry hosts, by address. */
	private final Map<InetSocketAddress, EntryLink> links = new HashMap<>();

	/** Start of the engine whose id was asked for. */
	private long askedBornMillis = NOT_ASKED;

	/** Start of the engine whose id is known. */
	private long identifiedBornMillis = NOT_ASKED;

	/** Id of the engine that started then. */
	private String engineId = "";

	/** Decides which requests the engine takes. */
	private final AdmissionLedger ledger;

	/** Load last told, or {@code null}. */
	private EngineLoad told;

	/** When the load was last told, in milliseconds. */
	private long toldAtMillis;

	/** Whether the engine answered last time. */
	private boolean engineAnswers = true;

	private RelaySidecarDaemon(RelaySidecarSettings settings, RelayPlatform platform) {
		this.settings = settings;
		this.platform = platform;
		this.process = new RelayProcess(settings.process(), platform);
		this.ledger = AdmissionLedger.of(this.process.clock());
	}

	/**
	 * Makes a daemon.
	 * @param settings settings of the daemon
	 * @param platform the platform that it runs on
	 * @return a daemon that is not started
	 */
	public static RelaySidecarDaemon of(RelaySidecarSettings settings, RelayPlatform platform) {
		return new RelaySidecarDaemon(settings, platform);
	}

	@Override
	public void start() throws IOException {
		this.process.serveMetrics(() -> Map.of("load", String.valueOf(this.told), "links", this.links.size()));
		this.process.readMembers(this::connect);
		this.process.control().execute(() -> {
			connect();
			look();
		});
		LogEvent.PROCESS_STARTED.log(logger, "sidecar", this.settings.process().name(),
				this.settings.process().dataCentre());
	}

	private void connect() {
		Set<InetSocketAddress> wanted = new HashSet<>(this.process.peers());
		this.links.entrySet().removeIf((link) -> {
			boolean gone = !wanted.contains(link.getKey());
			if (gone) {
				link.getValue().link.close();
			}
			return gone;
		});
		wanted.forEach((address) -> this.links.computeIfAbsent(address, EntryLink::new));
	}

	private void look() {
		this.platform.engineReport(this.process.exchanges(), this.settings.engine())
			.whenComplete((report, failure) -> this.process.control().execute(() -> {
				seen(report, failure);
				this.process.control().schedule(LOOK_MILLIS, this::look);
			}));
	}

	private void seen(EngineReport report, Throwable failure) {
		if (failure != null) {
			if (this.engineAnswers) {
				LogEvent.ENGINE_LOAD_UNREADABLE.log(logger, this.settings.engine(), failure.getMessage());
			}
			this.engineAnswers = false;
			return;
		}
		this.engineAnswers = true;
		long bornMillis = report.load().bornMillis();
		identify(bornMillis);
		EngineLoad named = report.load()
			.withIdentity((bornMillis == this.identifiedBornMillis) ? this.engineId : "", this.settings.service(),
					this.settings.process().dataCentre());
		this.ledger.updateLoad(named, report.activeRequests());
		EngineLoad load = this.ledger.load();
		if (worthTelling(load)) {
			this.told = load;
			this.toldAtMillis = this.process.clock().millis();
			List.copyOf(this.links.values()).forEach((link) -> link.tell(load));
		}
	}

	/**
	 * Answers a question for room. While the engine does not tell its load, none is
	 * answered, and entry hosts find out themselves.
	 * @param asking link to the entry host
	 * @param question what the request needs
	 */
	private void asked(Link asking, Message.AdmissionRequest question) {
		if (this.engineAnswers && this.ledger.load() != null) {
			boolean granted = this.ledger.tryAdmit(question);
			asking.send(new Message.AdmissionResponse(question.requestNumber(), granted, this.ledger.load()));
		}
	}

	/**
	 * Asks the engine for its id, once for each of its starts.
	 * @param bornMillis when the engine started, in milliseconds
	 */
	private void identify(long bornMillis) {
		if (bornMillis == this.askedBornMillis) {
			return;
		}
		this.askedBornMillis = bornMillis;
		this.platform.engineId(this.process.exchanges(), this.settings.engine())
			.whenComplete((id, failure) -> this.process.control().execute(() -> {
				if (failure != null) {
					LogEvent.ENGINE_LOAD_UNREADABLE.log(logger, this.settings.engine(), failure.getMessage());
					this.askedBornMillis = NOT_ASKED;
					return;
				}
				LogEvent.ENGINE_IDENTIFIED.log(logger, this.settings.engine(), id, bornMillis);
				this.engineId = id;
				this.identifiedBornMillis = bornMillis;
			}));
	}

	private boolean worthTelling(EngineLoad load) {
		long sinceMillis = this.process.clock().millis() - this.toldAtMillis;
		if (this.told == null || sinceMillis >= TELL_MILLIS || load.leaving() != this.told.leaving()
				|| load.bornMillis() != this.told.bornMillis()) {
			return true;
		}
		boolean changed = Math.abs(load.memoryUsed() - this.told.memoryUsed()) > load.memoryTotal() * CHANGED_PART
				|| load.waiting() != this.told.waiting()
				|| Math.abs(load.unreadTokens() - this.told.unreadTokens()) > CHANGED_TOKENS;
		return changed && sinceMillis >= LEAST_MILLIS;
	}

	@Override
	public void stop() {
		LogEvent.PROCESS_STOPPED.log(logger, this.settings.process().name(), 0);
	}

	@Override
	public void kill() {
		this.process.close();
	}

	/**
	 * Link to one entry host. Belongs to the control thread.
	 */
	private final class EntryLink implements Link.Listener {

		/** Address of the entry host. */
		private final InetSocketAddress address;

		/** The link. */
		private final Link link;

		/** When the entry host was last heard, or the link was made, in milliseconds. */
		private long heardMillis;

		/** When an answer was last asked for, in milliseconds. */
		private long askedMillis;

		EntryLink(InetSocketAddress address) {
			this.address = address;
			this.heardMillis = RelaySidecarDaemon.this.process.clock().millis();
			this.link = RelaySidecarDaemon.this.process.transport().open(address, this);
		}

		void tell(EngineLoad load) {
			long nowMillis = RelaySidecarDaemon.this.process.clock().millis();
			if (nowMillis - this.heardMillis > SILENCE_MILLIS) {
				this.link.close();
				return;
			}
			boolean ask = nowMillis - this.askedMillis >= TELL_MILLIS;
			if (ask) {
				this.askedMillis = nowMillis;
			}
			this.link.send(new Message.EngineLoadReport(load, ask));
		}

		@Override
		public void opened(Link opened) {
			LogEvent.ENTRY_LINKED.log(logger, this.address);
		}

		@Override
		public void received(Link sender, long version, Message message) {
			RelaySidecarDaemon.this.process.control().execute(() -> {
				this.heardMillis = RelaySidecarDaemon.this.process.clock().millis();
				if (message instanceof Message.AdmissionRequest question) {
					asked(sender, question);
				}
			});
		}

		@Override
		public void writable(Link free) {
			// Loads are small.
		}

		@Override
		public void closed(Link ended) {
			RelaySidecarDaemon.this.process.control().schedule(REOPEN_MILLIS, () -> {
				if (RelaySidecarDaemon.this.links.remove(this.address, this)) {
					connect();
				}
			});
		}

	}

}
