package io.dotterelcrank.standin.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

import io.dotterelcrank.common.Scheduler;
import io.dotterelcrank.connection.Link;
import io.dotterelcrank.connection.Message;
import io.dotterelcrank.connection.MessageCodec;
import io.dotterelcrank.connection.Transport;

/**
 * An in-memory network. Encodes and decodes every frame, and delivers frames in order
 * after a fixed latency, unless a fault holds them back or breaks the connection.
 * Confined to the scheduler's thread.
 */
public final class StandinNetwork {

	/** Size of a frame's length field, in bytes. */
	private static final int LENGTH_BYTES = 4;

	/** First port assigned. */
	private static final int FIRST_PORT = 10_000;

	private final Scheduler scheduler;

	/** One-way latency of a frame. */
	private final long latencyMillis;

	private final MessageCodec codec = MessageCodec.create();

	/** Listening processes by port. */
	private final Map<Integer, Acceptor> acceptors = new HashMap<>();

	/** Ports whose frames are held back, on all connections. */
	private final Set<Integer> stalledPorts = new HashSet<>();

	/** Both ends of each open connection. */
	private final List<LinkEnd> ends = new ArrayList<>();

	/** Ends whose frames are held back, whatever their port. */
	private final List<LinkEnd> stalledEnds = new ArrayList<>();

	/** Breaks the connection instead of sending the first matching message. */
	private Predicate<Message> breakConnectionBefore = (message) -> false;

	/** Breaks the connection after delivering the first matching message. */
	private Predicate<Message> breakConnectionAfter = (message) -> false;

	/** Next port to assign. */
	private int nextPort = FIRST_PORT;

	private StandinNetwork(Scheduler scheduler, long latencyMillis) {
		this.scheduler = scheduler;
		this.latencyMillis = latencyMillis;
	}

	/**
	 * Creates a network.
	 * @param scheduler delivers the frames
	 * @param latencyMillis one-way latency of a frame, in milliseconds
	 * @return a network without faults
	 */
	public static StandinNetwork withLatency(Scheduler scheduler, long latencyMillis) {
		return new StandinNetwork(scheduler, latencyMillis);
	}

	/**
	 * Creates the transport of one process.
	 * @param version supplies the configuration version to put into each frame
	 * @return a new transport
	 */
	public Process createProcess(LongSupplier version) {
		return new Process(version);
	}

	/**
	 * Holds back all frames to and from a port, also on later connections, until
	 * {@link #endStall}.
	 * @param port port of the accepting process
	 */
	public void stall(int port) {
		this.stalledPorts.add(port);
	}

	/**
	 * Holds back the frames of the open connections of a port, but not of later ones,
	 * until {@link #endStall}.
	 * @param port port of the accepting process
	 */
	public void stallOpenConnections(int port) {
		this.ends.stream().filter((end) -> end.port == port).forEach((end) -> end.stalled = true);
		this.stalledEnds.addAll(this.ends.stream().filter((end) -> end.stalled).toList());
	}

	/**
	 * Ends a stall. Frames of connections that were closed meanwhile still arrive, as
	 * they would from the buffers of an operating system.
	 * @param port port of the accepting process
	 */
	public void endStall(int port) {
		this.stalledPorts.remove(port);
		this.stalledEnds.forEach((end) -> end.stalled = false);
		this.stalledEnds.forEach(LinkEnd::deliverPending);
		this.stalledEnds.clear();
		List.copyOf(this.ends).stream().filter((end) -> end.port == port).forEach(LinkEnd::deliverPending);
	}

	/**
	 * Breaks all open connections of a port.
	 * @param port port of the accepting process
	 */
	public void breakConnections(int port) {
		List.copyOf(this.ends).stream().filter((end) -> end.port == port).forEach(LinkEnd::close);
	}

	/**
	 * Breaks the connection of the next matching message, once, instead of sending it.
	 * @param condition matches the message
	 */
	public void breakConnectionBefore(Predicate<Message> condition) {
		this.breakConnectionBefore = condition;
	}

	/**
	 * Breaks the connection of the next matching message, once, after delivering it.
	 * @param condition matches the message
	 */
	public void breakConnectionAfter(Predicate<Message> condition) {
		this.breakConnectionAfter = condition;
	}

	/**
	 * A process that accepts links at a port. Immutable.
	 *
	 * @param process the accepting process
	 * @param listener receives the events of accepted links
	 */
	private record Acceptor(Process process, Link.Listener listener) {
	}

	/**
	 * The transport of a process, which can be killed.
	 */
	public final class Process implements Transport {

		private final LongSupplier configurationVersion;

		private boolean killed;

		private long controlBytesSent;

		private long controlBytesReceived;

		private long requestBytesSent;

		private long requestBytesReceived;

		private Process(LongSupplier version) {
			this.configurationVersion = version;
		}

		@Override
		public InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) throws IOException {
			int port = (address.getPort() != 0) ? address.getPort() : StandinNetwork.this.nextPort++;
			if (StandinNetwork.this.acceptors.containsKey(port)) {
				throw new IOException("port " + port + " is in use");
			}
			StandinNetwork.this.acceptors.put(port, new Acceptor(this, listener));
			return InetSocketAddress.createUnresolved("127.0.0.1", port);
		}

		@Override
		public Link open(InetSocketAddress address, Link.Listener listener) {
			int port = address.getPort();
			LinkEnd openingEnd = new LinkEnd(this, port, listener);
			Acceptor acceptor = StandinNetwork.this.acceptors.get(port);
			if (acceptor == null || this.killed) {
				StandinNetwork.this.scheduler.execute(openingEnd::markClosed);
				return openingEnd;
			}
			LinkEnd acceptingEnd = new LinkEnd(acceptor.process(), port, acceptor.listener());
			openingEnd.peer = acceptingEnd;
			acceptingEnd.peer = openingEnd;
			StandinNetwork.this.ends.add(openingEnd);
			StandinNetwork.this.ends.add(acceptingEnd);
			openingEnd.scheduleOpened();
			acceptingEnd.scheduleOpened();
			return openingEnd;
		}

		/**
		 * Kills the process: its connections break, and its listeners get no more events.
		 */
		public void kill() {
			this.killed = true;
			StandinNetwork.this.acceptors.values().removeIf((acceptor) -> acceptor.process() == this);
			List.copyOf(StandinNetwork.this.ends).stream().filter((end) -> end.owner == this).forEach(LinkEnd::close);
		}

		/**
		 * Returns whether the process runs.
		 * @return {@code false} once it has been killed
		 */
		public boolean alive() {
			return !this.killed;
		}

		@Override
		public Traffic traffic() {
			return new Traffic(this.controlBytesSent, this.controlBytesReceived, this.requestBytesSent,
					this.requestBytesReceived);
		}

		@Override
		public void close() {
			kill();
		}

		private void countBytes(boolean control, boolean sent, long bytes) {
			this.controlBytesSent += (control && sent) ? bytes : 0;
			this.controlBytesReceived += (control && !sent) ? bytes : 0;
			this.requestBytesSent += (!control && sent) ? bytes : 0;
			this.requestBytesReceived += (!control && !sent) ? bytes : 0;
		}

	}

	/**
	 * A frame in transit. Immutable.
	 *
	 * @param content the encoded message, without the length field
	 * @param control whether it is a control message; see {@link Transport#isControl}
	 */
	private record Frame(byte[] content, boolean control) {
	}

	/**
	 * An end of a connection.
	 */
	private final class LinkEnd implements Link {

		private final Process owner;

		/** Port of the accepting process. */
		private final int port;

		private final Listener listener;

		/** Frames received but held back, in order. */
		private final List<Frame> undelivered = new ArrayList<>();

		/** The other end; {@code null} if nobody accepted the connection. */
		private LinkEnd peer;

		/** Whether frames to this end are held back, whatever its port. */
		private boolean stalled;

		private boolean closed;

		LinkEnd(Process owner, int port, Listener listener) {
			this.owner = owner;
			this.port = port;
			this.listener = listener;
		}

		private void scheduleOpened() {
			StandinNetwork.this.scheduler.schedule(StandinNetwork.this.latencyMillis, () -> {
				if (!this.closed) {
					this.listener.opened(this);
				}
			});
		}

		@Override
		public void send(Message message) {
			if (this.closed || this.peer == null) {
				return;
			}
			if (StandinNetwork.this.breakConnectionBefore.test(message)) {
				StandinNetwork.this.breakConnectionBefore = (any) -> false;
				close();
				return;
			}
			Frame frame = encode(message);
			this.owner.countBytes(frame.control(), true, frame.content().length + LENGTH_BYTES);
			LinkEnd destination = this.peer;
			StandinNetwork.this.scheduler.schedule(StandinNetwork.this.latencyMillis, () -> destination.receive(frame));
		}

		private Frame encode(Message message) {
			try {
				boolean control = Transport.isControl(message);
				return new Frame(StandinNetwork.this.codec.encode(message, this.owner.configurationVersion.getAsLong()),
						control);
			}
			catch (IOException ex) {
				throw new IllegalStateException("cannot encode a message", ex);
			}
		}

		private void receive(Frame frame) {
			this.undelivered.add(frame);
			deliverPending();
		}

		private boolean isStalled() {
			return this.stalled || StandinNetwork.this.stalledPorts.contains(this.port);
		}

		private void deliverPending() {
			while (!this.undelivered.isEmpty() && !isStalled() && !this.owner.killed) {
				Frame frame = this.undelivered.remove(0);
				this.owner.countBytes(frame.control(), false, frame.content().length + LENGTH_BYTES);
				dispatch(frame);
			}
		}

		private void dispatch(Frame frame) {
			if (this.closed) {
				return;
			}
			try {
				MessageCodec.Envelope envelope = StandinNetwork.this.codec.decode(frame.content());
				this.listener.received(this, envelope.version(), envelope.message());
				if (StandinNetwork.this.breakConnectionAfter.test(envelope.message())) {
					StandinNetwork.this.breakConnectionAfter = (any) -> false;
					close();
				}
			}
			catch (IOException ex) {
				throw new IllegalStateException("cannot decode a frame", ex);
			}
		}

		@Override
		public boolean writable() {
			return !this.closed;
		}

		@Override
		public void close() {
			if (!this.closed) {
				LinkEnd peerEnd = this.peer;
				markClosed();
				if (peerEnd != null) {
					StandinNetwork.this.scheduler.schedule(StandinNetwork.this.latencyMillis, peerEnd::closedByPeer);
				}
			}
		}

		/**
		 * Handles the close of the other end, which a stall holds back like a frame.
		 */
		private void closedByPeer() {
			if (isStalled()) {
				StandinNetwork.this.scheduler.schedule(1, this::closedByPeer);
				return;
			}
			markClosed();
		}

		private void markClosed() {
			if (this.closed) {
				return;
			}
			deliverPending();
			this.closed = true;
			StandinNetwork.this.ends.remove(this);
			if (!this.owner.killed) {
				StandinNetwork.this.scheduler.execute(() -> this.listener.closed(this));
			}
		}

		@Override
		public String peerAddress() {
			return "port " + this.port;
		}

	}

}
