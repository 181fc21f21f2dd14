package io.dotterelcrank.connection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.LongSupplier;

/**
 * Opens and accepts links. Thread-safe.
 */
public interface Transport extends AutoCloseable {

	/**
	 * Accepts links.
	 * @param address local address; port 0 takes a free one
	 * @param listener hears what happens on every accepted link
	 * @return the address bound
	 * @throws IOException if the address cannot be bound
	 */
	InetSocketAddress listen(InetSocketAddress address, Link.Listener listener) throws IOException;

	/**
	 * Opens a link. Failure is reported by {@link Link.Listener#closed}.
	 * @param address address of the peer
	 * @param listener hears what happens on the link
	 * @return the link, on which messages wait until it is open
	 */
	Link open(InetSocketAddress address, Link.Listener listener);

	/**
	 * Returns the traffic so far.
	 * @return counters of this transport
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
		return new NettyTransport(version);
	}

	/**
	 * Tells whether a message is for control, and not part of a request.
	 * @param message the message
	 * @return {@code true} for introductions, heartbeats, loads, records and
	 * configurations
	 */
	static boolean isControl(Message message) {
		return message instanceof Message.Hello || message instanceof Message.Welcome
				|| message instanceof Message.Heartbeat || message instanceof Message.ConfigurationRequest
				|| message instanceof Message.ConfigurationResponse || message instanceof Message.RecordsRequest
				|| message instanceof Message.RecordsResponse || message instanceof Message.EngineLoadReport
				|| message instanceof Message.EngineLoadAck;
	}

	/**
	 * Traffic counters, split into control and request messages. Immutable.
	 *
	 * @param controlBytesSent bytes of control messages sent, with their length fields
	 * @param controlBytesReceived bytes of control messages received
	 * @param requestBytesSent bytes of request messages sent
	 * @param requestBytesReceived bytes of request messages received
	 */
	record Traffic(long controlBytesSent, long controlBytesReceived, long requestBytesSent, long requestBytesReceived) {
	}

}
