package io.dotterelcrank.version;

/**
 * An exception from a fleet-wide default. Immutable.
 *
 * @param id id chosen by the operator, unique among the exceptions in force
 * @param scope what the subject names
 * @param subject workspace, service, host or data centre that the exception is for
 * @param setting setting that differs
 * @param value value for the subject
 * @param reason why, as written by the operator; never blank
 */
public record ExceptionRule(String id, Scope scope, String subject, Setting setting, long value, String reason) {

	/**
	 * What an exception is for.
	 */
	public enum Scope {

		/** One workspace. */
		WORKSPACE,

		/** One plain service or model service. */
		SERVICE,

		/** One target host. */
		HOST,

		/** One data centre. */
		DATA_CENTRE

	}

}
