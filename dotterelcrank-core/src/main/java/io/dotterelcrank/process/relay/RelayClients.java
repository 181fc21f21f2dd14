package io.dotterelcrank.process.relay;

import io.dotterelcrank.process.limit.RatePermitClient;
import io.dotterelcrank.process.limit.RetryLoanClient;
import io.dotterelcrank.process.quarantine.CrashEvidenceClient;
import io.dotterelcrank.process.rollout.RolloutClient;

/**
 * Clients of the other processes that a {@link RelayService} depends on. Immutable.
 *
 * @param targets sends requests to targets
 * @param admission sends admission requests to sidecars
 * @param engineLoads reads the load of engines without sidecars
 * @param retryLoans asks other entry hosts for retry permits
 * @param ratePermits asks other entry hosts for permits of targets that name a limit
 * @param crashEvidence sends evidence of crashes to other entry hosts
 * @param rollouts sends evidence and decisions of roll-outs
 */
public record RelayClients(TargetClient targets, AdmissionClient admission, EngineLoadReader engineLoads,
		RetryLoanClient retryLoans, RatePermitClient ratePermits, CrashEvidenceClient crashEvidence,
		RolloutClient rollouts) {

	/**
	 * Creates clients that reach targets only.
	 * @param targets sends requests to targets
	 * @return clients with all others disabled
	 */
	public static RelayClients of(TargetClient targets) {
		return new RelayClients(targets, AdmissionClient.Disabled.INSTANCE, EngineLoadReader.Disabled.INSTANCE,
				RetryLoanClient.Disabled.INSTANCE, RatePermitClient.Disabled.INSTANCE,
				CrashEvidenceClient.Disabled.INSTANCE, RolloutClient.Disabled.INSTANCE);
	}

	/**
	 * Returns a copy with another client of sidecars.
	 * @param client sends admission requests
	 * @return the changed copy
	 */
	public RelayClients withAdmission(AdmissionClient client) {
		return new RelayClients(this.targets, client, this.engineLoads, this.retryLoans, this.ratePermits,
				this.crashEvidence, this.rollouts);
	}

	/**
	 * Returns a copy with another reader of engine loads.
	 * @param reader reads the load of engines
	 * @return the changed copy
	 */
	public RelayClients withEngineLoads(EngineLoadReader reader) {
		return new RelayClients(this.targets, this.admission, reader, this.retryLoans, this.ratePermits,
				this.crashEvidence, this.rollouts);
	}

	/**
	 * Returns a copy with another client of the other entry hosts.
	 * @param client asks for retry permits
	 * @return the changed copy
	 */
	public RelayClients withRetryLoans(RetryLoanClient client) {
		return new RelayClients(this.targets, this.admission, this.engineLoads, client, this.ratePermits,
				this.crashEvidence, this.rollouts);
	}

	/**
	 * Returns a copy with another client of the entry hosts that issue rate permits.
	 * @param client asks for permits
	 * @return the changed copy
	 */
	public RelayClients withRatePermits(RatePermitClient client) {
		return new RelayClients(this.targets, this.admission, this.engineLoads, this.retryLoans, client,
				this.crashEvidence, this.rollouts);
	}

	/**
	 * Returns a copy with another client for evidence of crashes.
	 * @param client sends the evidence
	 * @return the changed copy
	 */
	public RelayClients withCrashEvidence(CrashEvidenceClient client) {
		return new RelayClients(this.targets, this.admission, this.engineLoads, this.retryLoans, this.ratePermits,
				client, this.rollouts);
	}

	/**
	 * Returns a copy with another client for roll-outs.
	 * @param client sends evidence and decisions
	 * @return the changed copy
	 */
	public RelayClients withRollouts(RolloutClient client) {
		return new RelayClients(this.targets, this.admission, this.engineLoads, this.retryLoans, this.ratePermits,
				this.crashEvidence, client);
	}

}
