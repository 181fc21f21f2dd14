package io.dotterelcrank.connection;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages as MessagePack and decodes them. A frame's content consists of three
 * values: type number, configuration version of the sender, and the message's components
 * as an array. The messages of daemons that relay requests are encoded without
 * reflection, to the same bytes. Thread-safe.
 */
public final class MessageCodec {

	/** The position is the type number, so new types are only appended. */
	private static final List<Class<? extends Message>> TYPES = List.of(Message.Hello.class, Message.Welcome.class,
			Message.Generate.class, Message.Resume.class, Message.Acknowledge.class, Message.Cancel.class,
			Message.Reserve.class, Message.Reserved.class, Message.Invoke.class, Message.QueryOutcome.class,
			Message.CallResponse.class, Message.ClaimedElsewhere.class, Message.Tokens.class, Message.Finished.class,
			Message.Failed.class, Message.Heartbeat.class, Message.ConfigurationRequest.class,
			Message.ConfigurationResponse.class, Message.RecordsRequest.class, Message.RecordsResponse.class,
			Message.EngineLoadReport.class, Message.EngineLoadAck.class, Message.AdmissionRequest.class,
			Message.AdmissionResponse.class, Message.RetryLoanRequest.class, Message.RetryLoan.class,
			Message.RecordsPush.class, Message.RecordsPushAck.class, Message.RatePermitRequest.class,
			Message.RatePermit.class, Message.CrashEvidence.class, Message.RolloutEvidence.class);

	/** Bytes for the type number and the version. */
	private static final int HEADER_BYTES = 16;

	private MessageCodec() {
	}

	/**
	 * Creates a codec.
	 * @return a new codec
	 */
	public static MessageCodec create() {
		return new MessageCodec();
	}

	/**
	 * Encodes a frame's content.
	 * @param message message to encode
	 * @param version configuration version of the sender
	 * @return content without the length field
	 * @throws IOException if the message cannot be encoded
	 */
	public byte[] encode(Message message, long version) throws IOException {
		boolean packed = FrequentMessages.encodes(message) || PeerMessages.encodes(message);
		byte[] payload = packed ? new byte[0] : RecordMapper.INSTANCE.writeValueAsBytes(message);
		try (MessageBufferPacker packer = packer(packed ? FrequentMessages.MAX_TYPICAL_BYTES : HEADER_BYTES)) {
			packer.packInt(TYPES.indexOf(message.getClass()));
			packer.packLong(version);
			if (FrequentMessages.encodes(message)) {
				FrequentMessages.pack(message, packer);
			}
			else if (packed) {
				PeerMessages.pack(message, packer);
			}
			else {
				packer.addPayload(payload);
			}
			return packer.toByteArray();
		}
	}

	private static MessageBufferPacker packer(int bufferBytes) {
		return new MessagePack.PackerConfig().withBufferSize(bufferBytes).newBufferPacker();
	}

	/**
	 * Decodes a frame's content.
	 * @param content content without the length field
	 * @return the message and the version of its sender
	 * @throws UnknownTypeException if a newer build has sent a type that this one lacks
	 * @throws IOException if the content is malformed
	 */
	public Envelope decode(byte[] content) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
			int type = unpacker.unpackInt();
			long version = unpacker.unpackLong();
			int start = Math.toIntExact(unpacker.getTotalReadBytes());
			if (type < 0) {
				throw new IOException("message type " + type + " is negative");
			}
			if (type >= TYPES.size()) {
				throw new UnknownTypeException(type);
			}
			Class<? extends Message> messageType = TYPES.get(type);
			Message message = FrequentMessages.decodes(messageType)
					? FrequentMessages.unpack(messageType, unpacker, content.length)
					: PeerMessages.decodes(messageType) ? PeerMessages.unpack(messageType, unpacker, content.length)
							: RecordMapper.INSTANCE.readValue(content, start, content.length - start, messageType);
			return new Envelope(version, message);
		}
		catch (RuntimeException ex) {
			throw new IOException("malformed frame", ex);
		}
	}

	/**
	 * Signals a frame whose type is not known, which can be skipped.
	 */
	public static final class UnknownTypeException extends IOException {

		private static final long serialVersionUID = 1L;

		UnknownTypeException(int type) {
			super("unknown message type " + type);
		}

	}

	/**
	 * Maps all other messages, by reflection. Created with the first of them, as that
	 * takes longer than the start of a process without it.
	 */
	private static final class RecordMapper {

		/** Maps records to arrays. */
		static final ObjectMapper INSTANCE = create();

		private RecordMapper() {
		}

		private static ObjectMapper create() {
			ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
			mapper.setAnnotationIntrospector(new JsonArrayFormat());
			mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
			mapper.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
			return mapper;
		}

	}

	/**
	 * A message together with its sender's configuration version. Immutable.
	 *
	 * @param version configuration version of the sender
	 * @param message decoded message
	 */
	public record Envelope(long version, Message message) {
	}

}
