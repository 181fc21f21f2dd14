package io.dotterelcrank.version;

/**
 * What a setting is looked up for. Immutable. Empty strings match no exception.
 *
 * @param workspace workspace of the request
 * @param service service of the target
 * @param host host of the target
 * @param dataCentre data centre of the target
 */
public record Subject(String workspace, String service, String host, String dataCentre) {

	/**
	 * A subject without exceptions.
	 */
	public static final Subject FLEET = new Subject("", "", "", "");

	/**
	 * Returns a copy for another workspace.
	 * @param value the workspace
	 * @return the changed copy
	 */
	public Subject withWorkspace(String value) {
		return new Subject(value, this.service, this.host, this.dataCentre);
	}

	/**
	 * Tells whether a rule is for this subject.
	 * @param rule the rule
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
