package io.dotterelcrank.connection;

import java.util.List;

/**
 * A message of each type that daemons that relay requests send. Stateless.
 */
final class RelayMessages {

	private RelayMessages() {
	}

	static List<Message> all() {
		return List
			.of(new Message.RecordsRequest("op", 7, 3L), new Message.RecordsResponse("op", 9, 250, List.of(), 7, 3L),
					new Message.EngineLoadReport(
							new EngineLoad("i-1", "s", "dc", "10.0.0.1:80", 5, 3, 1, 2, 900, 1000, true, 1_500, 0),
							true),
					new Message.EngineLoadAck("10.0.0.1:80"),
					new Message.AdmissionRequest(9, "r", 3_000, 3_800, 1_500, 8_000, 0),
					new Message.AdmissionResponse(9, false,
							new EngineLoad("i-1", "s", "dc", "10.0.0.1:80", 5, 3, 1, 2, 900, 1000, false, -1, 0)),
					new Message.RecordsPushAck("op", 9, 3),
					new Message.RecordsPush("e", "op", 7, 9, 120, List.of(), 3, 40), new Message.RetryLoanRequest("s"),
					new Message.RetryLoan("s", true), new Message.RatePermitRequest("t", true, 3.3, 40),
					new Message.RatePermit("t", false, true, 300),
					new Message.CrashEvidence(List.of(), List.of(), true, false),
					new Message.CrashEvidence(
							List.of(new CrashReport("t", 40, -1,
									List.of(new CrashSuspect("f", List.of("a", "b")),
											new CrashSuspect("g", List.of())))),
							List.of(new Clearance("f", 70_000)), false, true),
					new Message.RolloutEvidence("e", 1L << 40, "s", 7, 300, 2, 3, 4, 5,
							List.of(new VersionCounts("r", "dc", true, 300, 1, List.of(0L, 1L << 33)))));
	}

}
