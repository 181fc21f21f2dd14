package io.dotterelcrank.version;

/**
 * Workspace and target that a setting is looked up for. Empty strings match no exception.
 * Immutable.
 *
 * @param workspace workspace of the request
 * @param service service of the target
 * @param host host of the target
 * @param dataCentre data centre of the target
 */
public record Subject(String workspace, String service, String host, String dataCentre) {

	/**
	 * Matches no exception, so that the fleet-wide default applies.
	 */
	public static final Subject FLEET = new Subject("", "", "", "");

	/**
	 * Returns a copy for another workspace.
	 * @param value name of the workspace
	 * @return the changed copy
	 */
	public Subject withWorkspace(String value) {
		return new Subject(value, this.service, this.host, this.dataCentre);
	}

	/**
	 * Returns whether a rule applies to this subject.
	 * @param rule exception to match
	 * @return {@code true} if scope and name match
	 */
	boolean matches(ExceptionRule rule) {
		String name = switch (rule.scope()) {
			case WORKSPACE -> this.workspace;
			case HOST -> this.host;
			case SERVICE -> this.service;
			case DATA_CENTRE -> this.dataCentre;
		};
		return rule.subject().equals(name);
	}

}
