package io.dotterelcrank.connection;

import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.annotation.JsonAlias;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.core.MessagePack;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import io.dotterelcrank.request.Failure;
import io.dotterelcrank.request.Generation;
import io.dotterelcrank.request.Header;
import io.dotterelcrank.request.Priority;
import io.dotterelcrank.request.Ran;
import io.dotterelcrank.request.ResultCode;
import io.dotterelcrank.request.ServiceCall;
import io.dotterelcrank.request.ServiceResponse;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.ExceptionRule;
import io.dotterelcrank.version.Placement;
import io.dotterelcrank.version.Setting;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link MessageCodec}.
 */
class MessageCodecTests {

	private final MessageCodec codec = MessageCodec.create();

	static List<Message> messages() {
		TargetLoad load = new TargetLoad(TargetLoad.State.WARMING, 80, 3, 31, 2);
		Configuration configuration = new Change.AddException(
				new ExceptionRule("x", ExceptionRule.Scope.HOST, "h", Setting.SHARE_WEIGHT, 7, "why"))
			.apply(new Change.Place(new Placement("s", "m", "a", "2", "serve", 9))
				.apply(new Change.DataCentreOut("dc", "why").apply(Configuration.INITIAL, 1), 1), 1);
		List<Message> messages = new ArrayList<>(RelayMessages.all());
		messages.addAll(List.of(new Message.Hello("entry", 5, 6, "dc"), new Message.Welcome("engine", 7, load),
				new Message.Generate(new Generation("g", "w", "m", Priority.HIGH, "p", 1, 2, 3)),
				new Message.Resume("g", "w", 4), new Message.Acknowledge("g", 5), new Message.Cancel("g"),
				new Message.Reserve("c", "w", Priority.HIGH), new Message.Reserved("c"), new Message.QueryOutcome("c"),
				new Message.ClaimedElsewhere("c", "t", true), new Message.Tokens("g", 3, List.of("a", "ü")),
				new Message.Finished("g", 9, "stop", load),
				new Message.Failed("g", new Failure(ResultCode.OVERLOADED, Ran.NO, 5, "why"), load),
				new Message.Heartbeat(load, 12), new Message.ConfigurationRequest(),
				new Message.ConfigurationResponse(configuration)));
		return messages;
	}

	@ParameterizedTest
	@MethodSource("messages")
	void decodesWhatItEncodes(Message message) throws IOException {
		MessageCodec.Envelope envelope = this.codec.decode(this.codec.encode(message, 77));
		assertThat(envelope).isEqualTo(new MessageCodec.Envelope(77, message));
	}

	@Test
	void decodesTheSpeedOfAnEngine() throws IOException {
		Message report = new Message.EngineLoadReport(load().withSpeed(new EngineSpeed(9_000, 8, 7, 15)), true);
		assertThat(this.codec.decode(this.codec.encode(report, 77)).message()).isEqualTo(report);
	}

	@Test
	void reportsOfEarlierAndLaterBuildsAreRead() throws IOException {
		Message.EngineLoadReport report = new Message.EngineLoadReport(load(), true);
		byte[] earlier = frame(20, mapped(new EarlierReport(EarlierLoad.of(load()), true)));
		assertThat(this.codec.decode(earlier).message()).isEqualTo(report);
		byte[] later = frame(20, mapped(new LaterReport(new LaterLoad("i-1", "s", "dc", "10.0.0.1:80", 5, 3, 1, 2, 900,
				1000, true, 1_500, 41, new LaterSpeed(9_000, 8, 7, 15, 1), "new"), true, "new")));
		assertThat(this.codec.decode(later).message())
			.isEqualTo(new Message.EngineLoadReport(load().withSpeed(new EngineSpeed(9_000, 8, 7, 15)), true));
	}

	/** They keep no epochs, which stand for 0. */
	@Test
	void recordsOfEarlierBuildsAreRead() throws IOException {
		assertThat(this.codec.decode(frame(18, mapped(new EarlierRequest("op", 7)))).message())
			.isEqualTo(new Message.RecordsRequest("op", 7, 0L));
		assertThat(this.codec.decode(frame(19, mapped(new EarlierResponse("op", 9, 250, List.of(), 7)))).message())
			.isEqualTo(new Message.RecordsResponse("op", 9, 250, List.of(), 7, 0L));
		assertThat(this.codec.decode(frame(26, mapped(new EarlierPush("e", "op", 7, 9, 120, List.of())))).message())
			.isEqualTo(new Message.RecordsPush("e", "op", 7, 9, 120, List.of(), 0, -1));
		assertThat(this.codec.decode(frame(27, mapped(new EarlierPushAck("op", 9)))).message())
			.isEqualTo(new Message.RecordsPushAck("op", 9, 0));
	}

	private static byte[] frame(int type, byte[] payload) {
		return ByteBuffer.allocate(2 + payload.length).put((byte) type).put((byte) 1).put(payload).array();
	}

	@Test
	void buildsWithAndWithoutSpeedReadEachOthersReports() throws IOException {
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		mapper.setAnnotationIntrospector(new JsonArrayFormat());
		mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
		EngineLoad load = load().withSpeed(new EngineSpeed(9_000, 8, 7, 15));
		EarlierReport received = mapper.readValue(mapper.writeValueAsBytes(new Message.EngineLoadReport(load, true)),
				EarlierReport.class);
		assertThat(received).isEqualTo(new EarlierReport(EarlierLoad.of(load), true));
		assertThat(mapper.readValue(mapper.writeValueAsBytes(received), Message.EngineLoadReport.class))
			.isEqualTo(new Message.EngineLoadReport(load(), true));
	}

	private static EngineLoad load() {
		return new EngineLoad("i-1", "s", "dc", "10.0.0.1:80", 5, 3, 1, 2, 900, 1000, true, 1_500, 41);
	}

	@Test
	void decodesRecordsAndDeletedKeys() throws IOException {
		Message.RecordsResponse sent = new Message.RecordsResponse("op", 9, 250,
				List.of(new KeyedRecord("config", 7, new byte[] { 1, 2 }), new KeyedRecord("evacuate/giza", 8, null)),
				7, 3L);
		Message.RecordsResponse received = (Message.RecordsResponse) this.codec.decode(this.codec.encode(sent, 77))
			.message();
		assertThat(received.nextOffset()).isEqualTo(9);
		assertThat(received.ageMillis()).isEqualTo(250);
		assertThat(received.records().get(0).value()).containsExactly(1, 2);
		assertThat(received.records().get(1).deleted()).isTrue();
	}

	/** The mapping that is the definition of the format. */
	private static byte[] mapped(Object message) throws IOException {
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		mapper.setAnnotationIntrospector(new JsonArrayFormat());
		return mapper.writeValueAsBytes(message);
	}

	/** Messages that are encoded without the mapping. */
	static List<Message> frequentMessages() {
		List<Message> frequent = new ArrayList<>(RelayMessages.all());
		long[] edges = { 0, -1, 127, 128, -33, 65_536, Integer.MAX_VALUE, 1L << 40, Long.MIN_VALUE };
		for (long edge : edges) {
			EngineLoad load = new EngineLoad("", "ü".repeat(40), "", "a", edge, (int) edge, 300, edge, edge, edge,
					false, edge, edge);
			frequent.add(new Message.EngineLoadReport(load, false));
			frequent.add(new Message.AdmissionRequest(edge, "", edge, edge, edge, edge, edge));
			frequent.add(new Message.RecordsRequest("", edge, edge));
			frequent.add(new Message.RecordsResponse("ü".repeat(300), edge, edge, List.of(), edge, edge));
			frequent.add(new Message.RatePermitRequest("", false, edge, edge));
			frequent.add(new Message.RatePermit("", true, false, edge));
			frequent.add(new Message.CrashEvidence(List.of(new CrashReport("", edge, edge, List.of())),
					List.of(new Clearance("", edge)), false, false));
			frequent.add(new Message.RolloutEvidence("", edge, "", edge, edge, (int) edge, (int) edge, edge, edge,
					List.of(new VersionCounts("", "", false, edge, edge, List.of(edge)))));
		}
		frequent.add(new Message.RecordsResponse("op", 9, 250,
				List.of(new KeyedRecord("k", 1, new byte[300]), new KeyedRecord("k".repeat(300), 2, null)), 7, 3L));
		frequent.add(new Message.AdmissionResponse(1, true, null));
		frequent.add(new Message.EngineLoadAck(null));
		frequent.add(new Message.RecordsRequest(null, 1, 2L));
		frequent.add(new Message.RecordsResponse(null, 1, 2, null, 3, 4L));
		frequent.add(new Message.RatePermitRequest(null, true, Double.POSITIVE_INFINITY, 1));
		frequent.add(new Message.CrashEvidence(null, null, true, true));
		frequent.add(new Message.CrashEvidence(
				List.of(new CrashReport(null, 1, 2, null),
						new CrashReport("t", 1, 2, List.of(new CrashSuspect(null, null)))),
				List.of(new Clearance(null, 1)), true, true));
		frequent.add(new Message.RolloutEvidence(null, 1, null, 2, 3, 4, 5, 6, 7, null));
		frequent.add(new Message.RolloutEvidence("e", 1, "s", 2, 3, 4, 5, 6, 7,
				List.of(new VersionCounts(null, null, false, 8, 9, null))));
		frequent.add(new Message.RecordsPush("e", "op", 7, 9, 120,
				List.of(new KeyedRecord("k", 1, new byte[300]), new KeyedRecord("k".repeat(300), 2, null)), 1L << 40,
				-1));
		return frequent;
	}

	@ParameterizedTest
	@MethodSource("frequentMessages")
	void frequentMessagesHaveTheBytesOfTheMapping(Message message) throws IOException {
		byte[] content = this.codec.encode(message, 1);
		assertThat(Arrays.copyOfRange(content, 2, content.length)).isEqualTo(mapped(message));
		assertThat(this.codec.decode(content).message()).usingRecursiveComparison().isEqualTo(message);
	}

	@Test
	void messagesOfRelayingDaemonsDoNotLoadTheMapping() throws Exception {
		List<URL> places = Stream
			.of(MessageCodec.class, RelayMessageTrip.class, ObjectMapper.class, JsonFactory.class, JsonAlias.class,
					MessagePackFactory.class, MessagePack.class)
			.map((type) -> type.getProtectionDomain().getCodeSource().getLocation())
			.toList();
		try (LoadedClasses loader = new LoadedClasses(places)) {
			Class<?> trip = loader.loadClass(RelayMessageTrip.class.getName());
			((Runnable) trip.getConstructor().newInstance()).run();
			assertThat(loader.loaded(MessageCodec.class)).isTrue();
			assertThat(loader.loaded(ObjectMapper.class)).isFalse();
		}
	}

	@Test
	void evidenceOfLaterBuildsIsRead() throws IOException {
		byte[] later = frame(30,
				mapped(new LaterEvidence(List
					.of(new LaterReportOfCrash("t", 40, -1, List.of(new LaterSuspect("f", List.of("a"), 1)), 2)),
						List.of(new LaterClearance("f", 70, 3)), true, false, 4)));
		assertThat(this.codec.decode(later).message()).isEqualTo(new Message.CrashEvidence(
				List.of(new CrashReport("t", 40, -1, List.of(new CrashSuspect("f", List.of("a"))))),
				List.of(new Clearance("f", 70)), true, false));
	}

	@Test
	void truncatedValuesAreRejectedBeforeTheyAreAllocated() throws IOException {
		byte[] content = this.codec.encode(
				new Message.RecordsPush("e", "op", 7, 9, 1, List.of(new KeyedRecord("k", 1, new byte[70_000])), 3, 40),
				1);
		byte[] truncated = Arrays.copyOf(content, content.length - 1);
		// The length of the value is the five bytes before it; it becomes 2 GB. Two bytes
		// with the epoch and the time follow the value.
		truncated[content.length - 2 - 70_000 - 4] = 0x7f;
		assertThatThrownBy(() -> this.codec.decode(truncated)).isInstanceOf(IOException.class)
			.hasMessageContaining("truncated");
	}

	@Test
	void loadInTheLogHasTheFormOfRecords() {
		assertThat(new EngineLoad("i-1", "s", "dc", "10.0.0.1:80", 5, 3, 1, 2, 900, 1000, true, 1_500, 0))
			.hasToString("EngineLoad[id=i-1, service=s, dataCentre=dc, address=10.0.0.1:80, bornMillis=5, running=3, "
					+ "waiting=1, unreadTokens=2, memoryUsed=900, memoryTotal=1000, leaving=true, leavesMillis=1500, "
					+ "growthTokens=0, speed=EngineSpeed[prefillTokensPerSecond=0.0, stepMillis=0.0, "
					+ "quietStepMillis=0.0, disturbedStepMillis=0.0]]");
	}

	@Test
	void decodesServiceCallsAndResponses() throws IOException {
		byte[] body = { 1, 2, 3 };
		ServiceCall call = new ServiceCall("c", "w", "s", Priority.LOW, "k", "POST", "/p",
				List.of(new Header("a", "b")), body, 4);
		Message.Invoke invoke = (Message.Invoke) this.codec.decode(this.codec.encode(new Message.Invoke(call), 1))
			.message();
		assertThat(invoke.call()).usingRecursiveComparison().isEqualTo(call);
		Message.CallResponse response = new Message.CallResponse("c", new ServiceResponse(200, List.of(), body),
				TargetLoad.NONE);
		assertThat(this.codec.decode(this.codec.encode(response, 1)).message()).usingRecursiveComparison()
			.isEqualTo(response);
	}

	@Property(tries = 1_000, seed = "31")
	void rejectsArbitraryBytesOnlyWithIoException(@ForAll byte[] content) {
		try {
			assertThat(this.codec.decode(content).message()).isNotNull();
		}
		catch (IOException ex) {
			assertThat(ex.getMessage()).isNotEmpty();
		}
	}

	/** Each report without an id failed on the control thread of its receiver. */
	@Test
	void loadWithoutAnIdentityIsMalformed() throws IOException {
		for (int missing = 0; missing < 4; missing++) {
			String[] identity = { "", "", "", "" };
			identity[missing] = "~";
			byte[] content = this.codec.encode(new Message.EngineLoadReport(
					new EngineLoad(identity[0], identity[1], identity[2], identity[3], 1, 0, 0, 0, 0, 10, false, -1, 0),
					false), 0);
			byte[] odd = withoutText(content);
			assertThatThrownBy(() -> this.codec.decode(odd)).isInstanceOf(IOException.class);
		}
	}

	/**
	 * Replaces the text "~" by nil.
	 * @param content content of a frame
	 * @return the changed content
	 */
	private static byte[] withoutText(byte[] content) {
		ByteBuffer changed = ByteBuffer.allocate(content.length - 1);
		for (int i = 0; i < content.length; i++) {
			boolean text = i + 1 < content.length && content[i] == (byte) 0xa1 && content[i + 1] == '~';
			changed.put(text ? (byte) 0xc0 : content[i]);
			i += text ? 1 : 0;
		}
		return changed.array();
	}

	/** Load report as earlier builds know it. */
	private record EarlierReport(EarlierLoad load, boolean ackRequested) {
	}

	private record EarlierLoad(String id, String service, String dataCentre, String address, long bornMillis,
			int running, int waiting, long unreadTokens, long memoryUsed, long memoryTotal, boolean leaving,
			long leavesMillis, long growthTokens) {

		static EarlierLoad of(EngineLoad load) {
			return new EarlierLoad(load.id(), load.service(), load.dataCentre(), load.address(), load.bornMillis(),
					load.running(), load.waiting(), load.unreadTokens(), load.memoryUsed(), load.memoryTotal(),
					load.leaving(), load.leavesMillis(), load.growthTokens());
		}

	}

	/**
	 * Report of a build with more components than this one knows.
	 */
	private record LaterReport(LaterLoad load, boolean ackRequested, String added) {
	}

	/**
	 * Load of a build with more components than this one knows.
	 */
	private record LaterLoad(String id, String service, String dataCentre, String address, long bornMillis, int running,
			int waiting, long unreadTokens, long memoryUsed, long memoryTotal, boolean leaving, long leavesMillis,
			long growthTokens, LaterSpeed speed, String added) {
	}

	/**
	 * Speed of a build with more components than this one knows.
	 */
	private record LaterSpeed(double prefillTokensPerSecond, double stepMillis, double quietStepMillis,
			double disturbedStepMillis, double added) {
	}

	/** {@link Message.RecordsRequest} of builds that know no epochs of the store. */
	private record EarlierRequest(String table, long fromOffset) {
	}

	/** {@link Message.RecordsResponse} of builds that know no epochs of the store. */
	private record EarlierResponse(String table, long nextOffset, long ageMillis, List<KeyedRecord> records,
			long fromOffset) {
	}

	/** {@link Message.RecordsPush} of builds that know no epochs of the store. */
	private record EarlierPush(String sender, String table, long fromOffset, long nextOffset, long ageMillis,
			List<KeyedRecord> records) {
	}

	/** {@link Message.RecordsPushAck} of builds that know no epochs of the store. */
	private record EarlierPushAck(String table, long nextOffset) {
	}

	/** {@link Message.CrashEvidence} of a build with more components than this one. */
	private record LaterEvidence(List<LaterReportOfCrash> crashes, List<LaterClearance> clearances,
			boolean replyRequested, boolean complete, int added) {
	}

	private record LaterReportOfCrash(String target, long lostAgeMillis, long aliveAgeMillis,
			List<LaterSuspect> suspects, int added) {
	}

	private record LaterSuspect(String fingerprint, List<String> sharedParts, int added) {
	}

	private record LaterClearance(String key, long ageMillis, int added) {
	}

	/**
	 * Loads classes anew and tells which it has loaded. Used by one thread.
	 */
	private static final class LoadedClasses extends URLClassLoader {

		LoadedClasses(List<URL> places) {
			super(places.toArray(new URL[0]), ClassLoader.getPlatformClassLoader());
		}

		boolean loaded(Class<?> type) {
			return findLoadedClass(type.getName()) != null;
		}

	}

}
