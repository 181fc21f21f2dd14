package io.dotterelcrank.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;

/**
 * Opens and accepts links. Thread-safe.
 */
public interface Transport extends AutoCloseable {

	/**
	 * Starts accepting links.
	 * @param address local address; port 0 chooses a free port
	 * @param listener receives the events of every accepted link
	 * @return the bound address
	 * @throws IOException if the address cannot be bound
	 */
	InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) throws IOException;

	/**
	 * Opens a link. Failure is reported by {@link Link.Listener#closed}.
	 * @param address address of the peer
	 * @param listener receives the events of the link
	 * @return the link; messages sent on it are queued until it is open
	 */
	Link open(InetSocketAddress address, Link.Listener listener);

	/**
	 * Returns the traffic since the transport was created.
	 * @return current values of the counters
	 */
	Traffic traffic();

	@Override
	void close();

	/**
	 * Creates a transport over TCP.
	 * @param version supplies the configuration version that each frame carries
	 * @return a new transport
	 */
	static Transport overTcp(LongSupplier version) {
		EventLoopGroup eventLoops = new NioEventLoopGroup(NettyTransport.TRAFFIC_THREADS);
		return new NettyTransport(version, eventLoops, () -> eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS));
	}

	/**
	 * Creates a transport over TCP on event loops of the caller, which keeps them open. A
	 * process whose own tasks run on the same loop needs no wake-up for each message.
	 * @param version supplies the configuration version that each frame carries
	 * @param eventLoops event loops that run the listeners
	 * @return a new transport
	 */
	static Transport overTcp(LongSupplier version, EventLoopGroup eventLoops) {
		return new NettyTransport(version, eventLoops, () -> {
		});
	}

	/**
	 * Returns whether a message is a control message and not part of a request.
	 * @param message message of any type
	 * @return {@code true} for handshakes, heartbeats, load reports, records,
	 * configurations, retry loans, rate permits and evidence of crashes
	 */
	static boolean isControl(Message message) {
		return message instanceof Message.Hello || message instanceof Message.Welcome
				|| message instanceof Message.Heartbeat || message instanceof Message.ConfigurationRequest
				|| message instanceof Message.ConfigurationResponse || message instanceof Message.RecordsRequest
				|| message instanceof Message.RecordsResponse || message instanceof Message.EngineLoadReport
				|| message instanceof Message.EngineLoadAck || message instanceof Message.RetryLoanRequest
				|| message instanceof Message.RetryLoan || message instanceof Message.RecordsPush
				|| message instanceof Message.RecordsPushAck || message instanceof Message.RatePermitRequest
				|| message instanceof Message.RatePermit || message instanceof Message.CrashEvidence;
	}

	/**
	 * Traffic counters, split into control and request messages. Immutable.
	 *
	 * @param controlBytesSent bytes of control messages sent; like all counters, with
	 * their length fields
	 * @param controlBytesReceived bytes of control messages received
	 * @param requestBytesSent bytes of request messages sent
	 * @param requestBytesReceived bytes of request messages received
	 */
	record Traffic(long controlBytesSent, long controlBytesReceived, long requestBytesSent, long requestBytesReceived) {
	}

}
