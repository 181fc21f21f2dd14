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
 * A network in one process. Frames are really encoded and decoded, and arrive in order
 * after a latency, unless a fault says otherwise. Belongs to the scheduler's thread.
 */
public final class StandinNetwork {

	/** Size of a frame's length field, in bytes. */
	private static final int LENGTH_BYTES = 4;

	/** First port given out. */
	private static final int FIRST_PORT = 10_000;

	/** Delivers frames. */
	private final Scheduler scheduler;

	/** Time that a frame takes, in milliseconds. */
	private final long latencyMillis;

	/** Encodes and decodes messages. */
	private final MessageCodec codec = MessageCodec.create();

	/** Who accepts links, by port. */
	private final Map<Integer, Acceptor> acceptors = new HashMap<>();

	/** Ports whose frames are held back. */
	private final Set<Integer> stalled = new HashSet<>();

	/** Ends of open connections. */
	private final List<End> ends = new ArrayList<>();

	/** Ends whose frames are held back. */
	private final List<End> heldEnds = new ArrayList<>();

	/** Breaks a connection when a message that it accepts is about to be sent. */
	private Predicate<Message> breakConnectionBefore = (message) -> false;

	/** Breaks a connection when a message that it accepts has just been delivered. */
	private Predicate<Message> breakConnectionAfter = (message) -> false;

	/** Number of ports given out. */
	private int ports = FIRST_PORT;

	private StandinNetwork(Scheduler scheduler, long latencyMillis) {
		this.scheduler = scheduler;
		this.latencyMillis = latencyMillis;
	}

	/**
	 * Creates a network.
	 * @param scheduler delivers frames
	 * @param latencyMillis time that a frame takes, in milliseconds
	 * @return a network without faults
	 */
	public static StandinNetwork withLatency(Scheduler scheduler, long latencyMillis) {
		return new StandinNetwork(scheduler, latencyMillis);
	}

	/**
	 * Creates the transport of one process.
	 * @param version supplies the configuration version that each frame carries
	 * @return a new transport
	 */
	public Process createProcess(LongSupplier version) {
		return new Process(version);
	}

	/**
	 * Holds back all frames to and from a port; they arrive when the stall ends.
	 * @param port port of the accepting process
	 */
	public void stall(int port) {
		this.stalled.add(port);
	}

	/**
	 * Holds back the frames of the connections that a port has now, but not of later
	 * ones.
	 * @param port port of the accepting process
	 */
	public void stallOpenConnections(int port) {
		this.ends.stream().filter((end) -> end.port == port).forEach((end) -> end.held = true);
		this.heldEnds.addAll(this.ends.stream().filter((end) -> end.held).toList());
	}

	/**
	 * Ends a stall. Frames of connections that were closed meanwhile still arrive, as
	 * they do from the buffers of an operating system.
	 * @param port port of the accepting process
	 */
	public void endStall(int port) {
		this.stalled.remove(port);
		this.heldEnds.forEach((end) -> end.held = false);
		this.heldEnds.forEach(End::deliver);
		this.heldEnds.clear();
		List.copyOf(this.ends).stream().filter((end) -> end.port == port).forEach(End::deliver);
	}

	/**
	 * Breaks all connections of a port.
	 * @param port port of the accepting process
	 */
	public void breakConnections(int port) {
		List.copyOf(this.ends).stream().filter((end) -> end.port == port).forEach(End::close);
	}

	/**
	 * Breaks a connection, once, when a message is about to be sent on it.
	 * @param message tells which message
	 */
	public void breakConnectionBefore(Predicate<Message> message) {
		this.breakConnectionBefore = message;
	}

	/**
	 * Breaks a connection, once, when a message has just been delivered on it.
	 * @param message tells which message
	 */
	public void breakConnectionAfter(Predicate<Message> message) {
		this.breakConnectionAfter = message;
	}

	/**
	 * Who accepts links at a port. Immutable.
	 *
	 * @param process the accepting process
	 * @param listener hears what happens on accepted links
	 */
	private record Acceptor(Process process, Link.Listener listener) {
	}

	/**
	 * The transport of one process.
	 */
	public final class Process implements Transport {

		/** Supplies the version that each frame carries. */
		private final LongSupplier version;

		/** Whether the process is dead. */
		private boolean dead;

		/** Bytes of control messages sent. */
		private long controlSent;

		/** Bytes of control messages received. */
		private long controlReceived;

		/** Bytes of request messages sent. */
		private long requestSent;

		/** Bytes of request messages received. */
		private long requestReceived;

		private Process(LongSupplier version) {
			this.version = version;
		}

		@Override
		public InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) throws IOException {
			int port = (address.getPort() != 0) ? address.getPort() : StandinNetwork.this.ports++;
			if (StandinNetwork.this.acceptors.containsKey(port)) {
				throw new IOException("port " + port + " is in use");
			}
			StandinNetwork.this.acceptors.put(port, new Acceptor(this, listener));
			return InetSocketAddress.createUnresolved("127.0.0.1", port);
		}

		@Override
		public Link open(InetSocketAddress address, Link.Listener listener) {
			int port = address.getPort();
			End near = new End(this, port, listener);
			Acceptor acceptor = StandinNetwork.this.acceptors.get(port);
			if (acceptor == null || this.dead) {
				StandinNetwork.this.scheduler.execute(near::end);
				return near;
			}
			End far = new End(acceptor.process(), port, acceptor.listener());
			near.peer = far;
			far.peer = near;
			StandinNetwork.this.ends.add(near);
			StandinNetwork.this.ends.add(far);
			near.openSoon();
			far.openSoon();
			return near;
		}

		/**
		 * Ends the process: its connections break, and nothing of it is heard again.
		 */
		public void kill() {
			this.dead = true;
			StandinNetwork.this.acceptors.values().removeIf((acceptor) -> acceptor.process() == this);
			List.copyOf(StandinNetwork.this.ends).stream().filter((end) -> end.owner == this).forEach(End::close);
		}

		/**
		 * Tells whether the process runs.
		 * @return {@code false} once it has been killed
		 */
		public boolean alive() {
			return !this.dead;
		}

		@Override
		public Traffic traffic() {
			return new Traffic(this.controlSent, this.controlReceived, this.requestSent, this.requestReceived);
		}

		@Override
		public void close() {
			kill();
		}

		private void count(boolean control, boolean sent, long bytes) {
			this.controlSent += (control && sent) ? bytes : 0;
			this.controlReceived += (control && !sent) ? bytes : 0;
			this.requestSent += (!control && sent) ? bytes : 0;
			this.requestReceived += (!control && !sent) ? bytes : 0;
		}

	}

	/**
	 * A frame under way. Immutable.
	 *
	 * @param content the frame
	 * @param control whether it is a control message
	 */
	private record Frame(byte[] content, boolean control) {
	}

	/**
	 * One end of a connection.
	 */
	private final class End implements Link {

		/** Process that owns this end. */
		private final Process owner;

		/** Port of the accepting process. */
		private final int port;

		/** Hears what happens. */
		private final Listener listener;

		/** Frames that have arrived but are held back. */
		private final List<Frame> arrived = new ArrayList<>();

		/** The other end. */
		private End peer;

		/** Whether frames to this end are held back. */
		private boolean held;

		/** Whether the end is closed. */
		private boolean closed;

		End(Process owner, int port, Listener listener) {
			this.owner = owner;
			this.port = port;
			this.listener = listener;
		}

		private void openSoon() {
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
			this.owner.count(frame.control(), true, frame.content().length + LENGTH_BYTES);
			End to = this.peer;
			StandinNetwork.this.scheduler.schedule(StandinNetwork.this.latencyMillis, () -> to.arrive(frame));
		}

		private Frame encode(Message message) {
			try {
				boolean control = Transport.isControl(message);
				return new Frame(StandinNetwork.this.codec.encode(message, this.owner.version.getAsLong()), control);
			}
			catch (IOException ex) {
				throw new IllegalStateException("messages can always be encoded", ex);
			}
		}

		private void arrive(Frame frame) {
			this.arrived.add(frame);
			deliver();
		}

		private boolean stalled() {
			return this.held || StandinNetwork.this.stalled.contains(this.port);
		}

		private void deliver() {
			while (!this.arrived.isEmpty() && !stalled() && !this.owner.dead) {
				Frame frame = this.arrived.remove(0);
				this.owner.count(frame.control(), false, frame.content().length + LENGTH_BYTES);
				hand(frame);
			}
		}

		private void hand(Frame frame) {
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
				throw new IllegalStateException("frames can always be decoded", ex);
			}
		}

		@Override
		public boolean writable() {
			return !this.closed;
		}

		@Override
		public void close() {
			if (!this.closed) {
				End other = this.peer;
				end();
				if (other != null) {
					StandinNetwork.this.scheduler.schedule(StandinNetwork.this.latencyMillis, other::closeByPeer);
				}
			}
		}

		/**
		 * The other side has closed. The news is held back like any frame.
		 */
		private void closeByPeer() {
			if (stalled()) {
				StandinNetwork.this.scheduler.schedule(1, this::closeByPeer);
				return;
			}
			end();
		}

		private void end() {
			if (this.closed) {
				return;
			}
			deliver();
			this.closed = true;
			StandinNetwork.this.ends.remove(this);
			if (!this.owner.dead) {
				StandinNetwork.this.scheduler.execute(() -> this.listener.closed(this));
			}
		}

		@Override
		public String peerAddress() {
			return "port " + this.port;
		}

	}

}
