package io.dotterelcrank.connection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Packs and unpacks the messages that hosts exchange several times a second, whose
 * mapping by reflection would cost most of the processor time of a report. Answers the
 * load pattern of many sidecars that report to many entry hosts. Invariant: the bytes are
 * those of {@link MessageCodec}'s mapping of records to arrays. Stateless.
 */
final class FrequentMessages {

	/** Initial size of a buffer; longer messages take several. */
	static final int MAX_TYPICAL_BYTES = 256;

	private static final int LOAD_COMPONENTS = 14;

	/** Components of a load in builds that do not measure speeds. */
	private static final int LOAD_COMPONENTS_WITHOUT_SPEED = 13;

	private static final int SPEED_COMPONENTS = 4;

	private static final int ADMISSION_REQUEST_COMPONENTS = 7;

	private static final int ADMISSION_RESPONSE_COMPONENTS = 3;

	private static final int PUSH_COMPONENTS = 8;

	/** Components of a push in builds that do not tell the time since the last one. */
	private static final int PUSH_COMPONENTS_WITHOUT_TIME = 7;

	/** Components of a push in builds that know no epochs of the store. */
	private static final int PUSH_COMPONENTS_WITHOUT_EPOCH = 6;

	private static final int PUSH_ACK_COMPONENTS = 3;

	/** Components of an acknowledgement in builds that know no epochs of the store. */
	private static final int PUSH_ACK_COMPONENTS_WITHOUT_EPOCH = 2;

	private static final int RECORD_COMPONENTS = 3;

	private FrequentMessages() {
	}

	static boolean encodes(Message message) {
		return decodes(message.getClass());
	}

	static boolean decodes(Class<? extends Message> type) {
		return type == Message.EngineLoadReport.class || type == Message.EngineLoadAck.class
				|| type == Message.AdmissionRequest.class || type == Message.AdmissionResponse.class
				|| type == Message.RecordsPush.class || type == Message.RecordsPushAck.class;
	}

	static void pack(Message message, MessagePacker packer) throws IOException {
		if (message instanceof Message.EngineLoadReport report) {
			packer.packArrayHeader(2);
			pack(report.load(), packer);
			packer.packBoolean(report.ackRequested());
		}
		else if (message instanceof Message.EngineLoadAck ack) {
			packer.packArrayHeader(1);
			pack(ack.address(), packer);
		}
		else if (message instanceof Message.AdmissionRequest request) {
			packer.packArrayHeader(ADMISSION_REQUEST_COMPONENTS);
			packer.packLong(request.requestNumber());
			pack(request.id(), packer);
			packer.packLong(request.promptTokens());
			packer.packLong(request.expectedTotalTokens());
			packer.packLong(request.knownPendingPrefillTokens());
			packer.packLong(request.maxPendingPrefillTokens());
			packer.packLong(request.reserveTokens());
		}
		else if (message instanceof Message.AdmissionResponse response) {
			packer.packArrayHeader(ADMISSION_RESPONSE_COMPONENTS);
			packer.packLong(response.requestNumber());
			packer.packBoolean(response.admitted());
			pack(response.load(), packer);
		}
		else if (message instanceof Message.RecordsPush push) {
			packer.packArrayHeader(PUSH_COMPONENTS);
			pack(push.sender(), packer);
			pack(push.table(), packer);
			packer.packLong(push.fromOffset());
			packer.packLong(push.nextOffset());
			packer.packLong(push.ageMillis());
			packer.packArrayHeader(push.records().size());
			for (KeyedRecord keyedRecord : push.records()) {
				pack(keyedRecord, packer);
			}
			packer.packLong(push.epoch());
			packer.packLong(push.sinceAckMillis());
		}
		else if (message instanceof Message.RecordsPushAck ack) {
			packer.packArrayHeader(PUSH_ACK_COMPONENTS);
			pack(ack.table(), packer);
			packer.packLong(ack.nextOffset());
			packer.packLong(ack.epoch());
		}
		else {
			throw new IllegalArgumentException("not a frequent message: " + message.getClass());
		}
	}

	private static void pack(EngineLoad load, MessagePacker packer) throws IOException {
		if (load == null) {
			packer.packNil();
			return;
		}
		packer.packArrayHeader(LOAD_COMPONENTS);
		pack(load.id(), packer);
		pack(load.service(), packer);
		pack(load.dataCentre(), packer);
		pack(load.address(), packer);
		packer.packLong(load.bornMillis());
		packer.packInt(load.running());
		packer.packInt(load.waiting());
		packer.packLong(load.unreadTokens());
		packer.packLong(load.memoryUsed());
		packer.packLong(load.memoryTotal());
		packer.packBoolean(load.leaving());
		packer.packLong(load.leavesMillis());
		packer.packLong(load.growthTokens());
		packer.packArrayHeader(SPEED_COMPONENTS);
		packer.packDouble(load.speed().prefillTokensPerSecond());
		packer.packDouble(load.speed().stepMillis());
		packer.packDouble(load.speed().quietStepMillis());
		packer.packDouble(load.speed().disturbedStepMillis());
	}

	static void pack(KeyedRecord keyedRecord, MessagePacker packer) throws IOException {
		packer.packArrayHeader(RECORD_COMPONENTS);
		pack(keyedRecord.key(), packer);
		packer.packLong(keyedRecord.offset());
		if (keyedRecord.value() == null) {
			packer.packNil();
		}
		else {
			packer.packBinaryHeader(keyedRecord.value().length);
			packer.writePayload(keyedRecord.value());
		}
	}

	static void pack(String text, MessagePacker packer) throws IOException {
		if (text == null) {
			packer.packNil();
		}
		else {
			packer.packString(text);
		}
	}

	static Message unpack(Class<? extends Message> type, MessageUnpacker unpacker, int contentBytes)
			throws IOException {
		if (type == Message.EngineLoadReport.class) {
			expectArray(unpacker, 2);
			return new Message.EngineLoadReport(unpackLoad(unpacker), unpacker.unpackBoolean());
		}
		if (type == Message.EngineLoadAck.class) {
			expectArray(unpacker, 1);
			return new Message.EngineLoadAck(unpackString(unpacker));
		}
		if (type == Message.AdmissionRequest.class) {
			expectArray(unpacker, ADMISSION_REQUEST_COMPONENTS);
			return new Message.AdmissionRequest(unpacker.unpackLong(), unpackString(unpacker), unpacker.unpackLong(),
					unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
		}
		if (type == Message.AdmissionResponse.class) {
			expectArray(unpacker, ADMISSION_RESPONSE_COMPONENTS);
			return new Message.AdmissionResponse(unpacker.unpackLong(), unpacker.unpackBoolean(), unpackLoad(unpacker));
		}
		if (type == Message.RecordsPush.class) {
			int components = expectArray(unpacker, PUSH_COMPONENTS_WITHOUT_EPOCH);
			return new Message.RecordsPush(unpackString(unpacker), unpackString(unpacker), unpacker.unpackLong(),
					unpacker.unpackLong(), unpacker.unpackLong(), unpackRecords(unpacker, contentBytes),
					(components < PUSH_COMPONENTS_WITHOUT_TIME) ? 0 : unpacker.unpackLong(),
					(components < PUSH_COMPONENTS) ? -1 : unpacker.unpackLong());
		}
		int components = expectArray(unpacker, PUSH_ACK_COMPONENTS_WITHOUT_EPOCH);
		return new Message.RecordsPushAck(unpackString(unpacker), unpacker.unpackLong(),
				(components < PUSH_ACK_COMPONENTS) ? 0 : unpacker.unpackLong());
	}

	private static EngineLoad unpackLoad(MessageUnpacker unpacker) throws IOException {
		if (unpacker.tryUnpackNil()) {
			return null;
		}
		int components = expectArray(unpacker, LOAD_COMPONENTS_WITHOUT_SPEED);
		EngineLoad load = new EngineLoad(unpackString(unpacker), unpackString(unpacker), unpackString(unpacker),
				unpackString(unpacker), unpacker.unpackLong(), unpacker.unpackInt(), unpacker.unpackInt(),
				unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackBoolean(),
				unpacker.unpackLong(), unpacker.unpackLong());
		if (components < LOAD_COMPONENTS) {
			return load;
		}
		EngineLoad withSpeed = load.withSpeed(unpackSpeed(unpacker));
		unpacker.skipValue(components - LOAD_COMPONENTS);
		return withSpeed;
	}

	private static EngineSpeed unpackSpeed(MessageUnpacker unpacker) throws IOException {
		if (unpacker.tryUnpackNil()) {
			return EngineSpeed.UNKNOWN;
		}
		int components = expectArray(unpacker, SPEED_COMPONENTS);
		EngineSpeed speed = new EngineSpeed(unpacker.unpackDouble(), unpacker.unpackDouble(), unpacker.unpackDouble(),
				unpacker.unpackDouble());
		unpacker.skipValue(components - SPEED_COMPONENTS);
		return speed;
	}

	private static List<KeyedRecord> unpackRecords(MessageUnpacker unpacker, int contentBytes) throws IOException {
		int size = unpacker.unpackArrayHeader();
		List<KeyedRecord> records = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			records.add(unpackRecord(unpacker, contentBytes));
		}
		return records;
	}

	static KeyedRecord unpackRecord(MessageUnpacker unpacker, int contentBytes) throws IOException {
		int components = expectArray(unpacker, RECORD_COMPONENTS);
		KeyedRecord keyedRecord = new KeyedRecord(unpackString(unpacker), unpacker.unpackLong(),
				unpackBytes(unpacker, contentBytes));
		unpacker.skipValue(components - RECORD_COMPONENTS);
		return keyedRecord;
	}

	private static byte[] unpackBytes(MessageUnpacker unpacker, int contentBytes) throws IOException {
		if (unpacker.tryUnpackNil()) {
			return null;
		}
		int length = unpacker.unpackBinaryHeader();
		// Checked before the array is allocated.
		if (length > contentBytes - unpacker.getTotalReadBytes()) {
			throw new IOException("value of " + length + " bytes is truncated");
		}
		return unpacker.readPayload(length);
	}

	static String unpackString(MessageUnpacker unpacker) throws IOException {
		return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
	}

	/**
	 * Reads the header of an array. Later builds may append components to a record.
	 * @param unpacker source
	 * @param components number of components that are needed
	 * @return number of components received
	 * @throws IOException if there are fewer
	 */
	static int expectArray(MessageUnpacker unpacker, int components) throws IOException {
		int received = unpacker.unpackArrayHeader();
		if (received < components) {
			throw new IOException(received + " components instead of " + components);
		}
		return received;
	}

}
