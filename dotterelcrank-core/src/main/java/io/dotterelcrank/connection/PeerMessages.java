package io.dotterelcrank.connection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Packs and unpacks what entry hosts ask each other and tell each other when they start
 * and while they serve. The first use of the mapping by reflection loads some hundred
 * classes, on the thread that serves callers. Invariant: the bytes are those of
 * {@link MessageCodec}'s mapping of records to arrays. Stateless.
 */
final class PeerMessages {

	private static final int RECORDS_REQUEST_COMPONENTS = 3;

	/** Components of a request in builds that know no epochs of the store. */
	private static final int RECORDS_REQUEST_COMPONENTS_WITHOUT_EPOCH = 2;

	private static final int RECORDS_RESPONSE_COMPONENTS = 6;

	/** Components of a response in builds that know no epochs of the store. */
	private static final int RECORDS_RESPONSE_COMPONENTS_WITHOUT_EPOCH = 5;

	private static final int RETRY_LOAN_COMPONENTS = 2;

	private static final int RATE_PERMIT_REQUEST_COMPONENTS = 4;

	private static final int RATE_PERMIT_COMPONENTS = 4;

	private static final int CRASH_EVIDENCE_COMPONENTS = 4;

	private static final int CRASH_REPORT_COMPONENTS = 4;

	private static final int CRASH_SUSPECT_COMPONENTS = 2;

	private static final int CLEARANCE_COMPONENTS = 2;

	private static final int ROLLOUT_EVIDENCE_COMPONENTS = 10;

	private static final int VERSION_COUNTS_COMPONENTS = 6;

	private PeerMessages() {
	}

	static boolean encodes(Message message) {
		return decodes(message.getClass());
	}

	static boolean decodes(Class<? extends Message> type) {
		return type == Message.RecordsRequest.class || type == Message.RecordsResponse.class
				|| type == Message.RetryLoanRequest.class || type == Message.RetryLoan.class
				|| type == Message.RatePermitRequest.class || type == Message.RatePermit.class
				|| type == Message.CrashEvidence.class || type == Message.RolloutEvidence.class;
	}

	static void pack(Message message, MessagePacker packer) throws IOException {
		if (message instanceof Message.RecordsRequest request) {
			packer.packArrayHeader(RECORDS_REQUEST_COMPONENTS);
			FrequentMessages.pack(request.table(), packer);
			packer.packLong(request.fromOffset());
			packer.packLong(request.epoch());
		}
		else if (message instanceof Message.RecordsResponse response) {
			packer.packArrayHeader(RECORDS_RESPONSE_COMPONENTS);
			FrequentMessages.pack(response.table(), packer);
			packer.packLong(response.nextOffset());
			packer.packLong(response.ageMillis());
			packList(response.records(), packer, FrequentMessages::pack);
			packer.packLong(response.fromOffset());
			packer.packLong(response.epoch());
		}
		else if (message instanceof Message.RetryLoanRequest request) {
			packer.packArrayHeader(1);
			FrequentMessages.pack(request.service(), packer);
		}
		else if (message instanceof Message.RetryLoan loan) {
			packer.packArrayHeader(RETRY_LOAN_COMPONENTS);
			FrequentMessages.pack(loan.service(), packer);
			packer.packBoolean(loan.granted());
		}
		else if (message instanceof Message.RatePermitRequest request) {
			packer.packArrayHeader(RATE_PERMIT_REQUEST_COMPONENTS);
			FrequentMessages.pack(request.target(), packer);
			packer.packBoolean(request.limited());
			packer.packDouble(request.requestsPerSecond());
			packer.packLong(request.knownForMillis());
		}
		else if (message instanceof Message.RatePermit permit) {
			packer.packArrayHeader(RATE_PERMIT_COMPONENTS);
			FrequentMessages.pack(permit.target(), packer);
			packer.packBoolean(permit.granted());
			packer.packBoolean(permit.limited());
			packer.packLong(permit.retryAfterMillis());
		}
		else if (message instanceof Message.CrashEvidence evidence) {
			packer.packArrayHeader(CRASH_EVIDENCE_COMPONENTS);
			packList(evidence.crashes(), packer, PeerMessages::pack);
			packList(evidence.clearances(), packer, PeerMessages::pack);
			packer.packBoolean(evidence.replyRequested());
			packer.packBoolean(evidence.complete());
		}
		else if (message instanceof Message.RolloutEvidence evidence) {
			pack(evidence, packer);
		}
		else {
			throw new IllegalArgumentException("not a message of peers: " + message.getClass());
		}
	}

	private static void pack(Message.RolloutEvidence evidence, MessagePacker packer) throws IOException {
		packer.packArrayHeader(ROLLOUT_EVIDENCE_COMPONENTS);
		FrequentMessages.pack(evidence.sender(), packer);
		packer.packLong(evidence.incarnation());
		FrequentMessages.pack(evidence.service(), packer);
		packer.packLong(evidence.orderOffset());
		packer.packLong(evidence.orderAgeMillis());
		packer.packInt(evidence.knownStage());
		packer.packInt(evidence.outstanding());
		packer.packLong(evidence.sends());
		packer.packLong(evidence.candidateSends());
		packList(evidence.counts(), packer, PeerMessages::pack);
	}

	private static void pack(VersionCounts counts, MessagePacker packer) throws IOException {
		packer.packArrayHeader(VERSION_COUNTS_COMPONENTS);
		FrequentMessages.pack(counts.route(), packer);
		FrequentMessages.pack(counts.dataCentre(), packer);
		packer.packBoolean(counts.candidate());
		packer.packLong(counts.requests());
		packer.packLong(counts.failed());
		packList(counts.latencies(), packer, (latency, target) -> target.packLong(latency));
	}

	private static void pack(CrashReport report, MessagePacker packer) throws IOException {
		packer.packArrayHeader(CRASH_REPORT_COMPONENTS);
		FrequentMessages.pack(report.target(), packer);
		packer.packLong(report.lostAgeMillis());
		packer.packLong(report.aliveAgeMillis());
		packList(report.suspects(), packer, PeerMessages::pack);
	}

	private static void pack(CrashSuspect suspect, MessagePacker packer) throws IOException {
		packer.packArrayHeader(CRASH_SUSPECT_COMPONENTS);
		FrequentMessages.pack(suspect.fingerprint(), packer);
		packList(suspect.sharedParts(), packer, FrequentMessages::pack);
	}

	private static void pack(Clearance clearance, MessagePacker packer) throws IOException {
		packer.packArrayHeader(CLEARANCE_COMPONENTS);
		FrequentMessages.pack(clearance.key(), packer);
		packer.packLong(clearance.ageMillis());
	}

	private static <T> void packList(List<T> values, MessagePacker packer, Packing<T> packing) throws IOException {
		if (values == null) {
			packer.packNil();
			return;
		}
		packer.packArrayHeader(values.size());
		for (T value : values) {
			packing.pack(value, packer);
		}
	}

	static Message unpack(Class<? extends Message> type, MessageUnpacker unpacker, int contentBytes)
			throws IOException {
		if (type == Message.RecordsRequest.class) {
			int components = FrequentMessages.expectArray(unpacker, RECORDS_REQUEST_COMPONENTS_WITHOUT_EPOCH);
			return new Message.RecordsRequest(FrequentMessages.unpackString(unpacker), unpacker.unpackLong(),
					unpackEpoch(unpacker, components, RECORDS_REQUEST_COMPONENTS));
		}
		if (type == Message.RecordsResponse.class) {
			int components = FrequentMessages.expectArray(unpacker, RECORDS_RESPONSE_COMPONENTS_WITHOUT_EPOCH);
			return new Message.RecordsResponse(FrequentMessages.unpackString(unpacker), unpacker.unpackLong(),
					unpacker.unpackLong(),
					unpackList(unpacker, (source) -> FrequentMessages.unpackRecord(source, contentBytes)),
					unpacker.unpackLong(), unpackEpoch(unpacker, components, RECORDS_RESPONSE_COMPONENTS));
		}
		if (type == Message.RetryLoanRequest.class) {
			FrequentMessages.expectArray(unpacker, 1);
			return new Message.RetryLoanRequest(FrequentMessages.unpackString(unpacker));
		}
		if (type == Message.RetryLoan.class) {
			FrequentMessages.expectArray(unpacker, RETRY_LOAN_COMPONENTS);
			return new Message.RetryLoan(FrequentMessages.unpackString(unpacker), unpacker.unpackBoolean());
		}
		if (type == Message.RatePermitRequest.class) {
			FrequentMessages.expectArray(unpacker, RATE_PERMIT_REQUEST_COMPONENTS);
			return new Message.RatePermitRequest(FrequentMessages.unpackString(unpacker), unpacker.unpackBoolean(),
					unpacker.unpackDouble(), unpacker.unpackLong());
		}
		if (type == Message.RatePermit.class) {
			FrequentMessages.expectArray(unpacker, RATE_PERMIT_COMPONENTS);
			return new Message.RatePermit(FrequentMessages.unpackString(unpacker), unpacker.unpackBoolean(),
					unpacker.unpackBoolean(), unpacker.unpackLong());
		}
		if (type == Message.CrashEvidence.class) {
			FrequentMessages.expectArray(unpacker, CRASH_EVIDENCE_COMPONENTS);
			return new Message.CrashEvidence(unpackList(unpacker, PeerMessages::unpackCrash),
					unpackList(unpacker, PeerMessages::unpackClearance), unpacker.unpackBoolean(),
					unpacker.unpackBoolean());
		}
		FrequentMessages.expectArray(unpacker, ROLLOUT_EVIDENCE_COMPONENTS);
		return new Message.RolloutEvidence(FrequentMessages.unpackString(unpacker), unpacker.unpackLong(),
				FrequentMessages.unpackString(unpacker), unpacker.unpackLong(), unpacker.unpackLong(),
				unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackLong(),
				unpackList(unpacker, PeerMessages::unpackCounts));
	}

	private static long unpackEpoch(MessageUnpacker unpacker, int components, int componentsWithEpoch)
			throws IOException {
		return (components < componentsWithEpoch || unpacker.tryUnpackNil()) ? 0 : unpacker.unpackLong();
	}

	private static CrashReport unpackCrash(MessageUnpacker unpacker) throws IOException {
		int components = FrequentMessages.expectArray(unpacker, CRASH_REPORT_COMPONENTS);
		CrashReport report = new CrashReport(FrequentMessages.unpackString(unpacker), unpacker.unpackLong(),
				unpacker.unpackLong(), unpackList(unpacker, PeerMessages::unpackSuspect));
		unpacker.skipValue(components - CRASH_REPORT_COMPONENTS);
		return report;
	}

	private static CrashSuspect unpackSuspect(MessageUnpacker unpacker) throws IOException {
		int components = FrequentMessages.expectArray(unpacker, CRASH_SUSPECT_COMPONENTS);
		CrashSuspect suspect = new CrashSuspect(FrequentMessages.unpackString(unpacker),
				unpackList(unpacker, FrequentMessages::unpackString));
		unpacker.skipValue(components - CRASH_SUSPECT_COMPONENTS);
		return suspect;
	}

	private static Clearance unpackClearance(MessageUnpacker unpacker) throws IOException {
		int components = FrequentMessages.expectArray(unpacker, CLEARANCE_COMPONENTS);
		Clearance clearance = new Clearance(FrequentMessages.unpackString(unpacker), unpacker.unpackLong());
		unpacker.skipValue(components - CLEARANCE_COMPONENTS);
		return clearance;
	}

	private static VersionCounts unpackCounts(MessageUnpacker unpacker) throws IOException {
		int components = FrequentMessages.expectArray(unpacker, VERSION_COUNTS_COMPONENTS);
		VersionCounts counts = new VersionCounts(FrequentMessages.unpackString(unpacker),
				FrequentMessages.unpackString(unpacker), unpacker.unpackBoolean(), unpacker.unpackLong(),
				unpacker.unpackLong(), unpackList(unpacker, MessageUnpacker::unpackLong));
		unpacker.skipValue(components - VERSION_COUNTS_COMPONENTS);
		return counts;
	}

	private static <T> List<T> unpackList(MessageUnpacker unpacker, Unpacking<T> unpacking) throws IOException {
		if (unpacker.tryUnpackNil()) {
			return null;
		}
		int size = unpacker.unpackArrayHeader();
		List<T> values = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			values.add(unpacking.unpack(unpacker));
		}
		return values;
	}

	/**
	 * Packs a value of a list.
	 *
	 * @param <T> type of the value
	 */
	private interface Packing<T> {

		void pack(T value, MessagePacker packer) throws IOException;

	}

	/**
	 * Unpacks a value of a list.
	 *
	 * @param <T> type of the value
	 */
	private interface Unpacking<T> {

		T unpack(MessageUnpacker unpacker) throws IOException;

	}

}
