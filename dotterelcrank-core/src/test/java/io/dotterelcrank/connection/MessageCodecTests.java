package io.dotterelcrank.connection;

import java.io.IOException;
import java.util.List;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import io.dotterelcrank.process.replica.KeyedRecord;
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
		return List.of(new Message.Hello("entry", 5, 6, "dc"), new Message.Welcome("engine", 7, load),
				new Message.Generate(new Generation("g", "w", "m", Priority.HIGH, "p", 1, 2, 3)),
				new Message.Resume("g", "w", 4), new Message.Acknowledge("g", 5), new Message.Cancel("g"),
				new Message.Reserve("c", "w", Priority.HIGH), new Message.Reserved("c"), new Message.QueryOutcome("c"),
				new Message.ClaimedElsewhere("c", "t", true), new Message.Tokens("g", 3, List.of("a", "ü")),
				new Message.Finished("g", 9, "stop", load),
				new Message.Failed("g", new Failure(ResultCode.OVERLOADED, Ran.NO, 5, "why"), load),
				new Message.Heartbeat(load, 12), new Message.ConfigurationRequest(),
				new Message.ConfigurationResponse(configuration), new Message.RecordsRequest("op", 7),
				new Message.EngineLoadReport(
						new EngineLoad("i-1", "s", "dc", "10.0.0.1:80", 5, 3, 1, 2, 900, 1000, true, 1_500, 0), true),
				new Message.EngineLoadAck("10.0.0.1:80"),
				new Message.AdmissionRequest(9, "r", 3_000, 3_800, 1_500, 8_000, 0),
				new Message.AdmissionResponse(9, false,
						new EngineLoad("i-1", "s", "dc", "10.0.0.1:80", 5, 3, 1, 2, 900, 1000, false, -1, 0)),
				new Message.RecordsPushAck("op", 9), new Message.RecordsPush("e", "op", 7, 9, 120, List.of()),
				new Message.RetryLoanRequest("s"), new Message.RetryLoan("s", true),
				new Message.RatePermitRequest("t", true, 3.3, 40), new Message.RatePermit("t", false, true, 300));
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
				7);
		Message.RecordsResponse received = (Message.RecordsResponse) this.codec.decode(this.codec.encode(sent, 77))
			.message();
		assertThat(received.nextOffset()).isEqualTo(9);
		assertThat(received.ageMillis()).isEqualTo(250);
		assertThat(received.records().get(0).value()).containsExactly(1, 2);
		assertThat(received.records().get(1).deleted()).isTrue();
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

}
