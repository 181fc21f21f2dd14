package io.dotterelcrank.version;

/**
 * Exception from a fleet-wide default. Immutable.
 *
 * @param id id chosen by the operator, unique among the exceptions in force
 * @param scope kind of the subject
 * @param subject name of the workspace, service, host or data centre that the exception
 * applies to
 * @param setting setting to override
 * @param value value for the subject, in the unit of the setting
 * @param reason reason as written by the operator; never blank
 */
public record ExceptionRule(String id, Scope scope, String subject, Setting setting, long value, String reason) {

	/**
	 * Kind of subject that an exception applies to.
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
