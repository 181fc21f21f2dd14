package io.dotterelcrank.version;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Everything that operators have published, as of one version. Immutable.
 *
 * @param version offset of the last accepted change; 0 before the first one
 * @param defaults defaults that operators have set
 * @param exceptions exceptions in force
 * @param dataCentresOut data centres taken out of service
 * @param hostsDrained drained hosts
 * @param placements models that engines must load; at most one per service
 */
public record Configuration(long version, List<DefaultValue> defaults, List<ExceptionRule> exceptions,
		List<Removal> dataCentresOut, List<Removal> hostsDrained, List<Placement> placements) {

	/**
	 * The configuration before the first change.
	 */
	public static final Configuration INITIAL = new Configuration(0, List.of(), List.of(), List.of(), List.of(),
			List.of());

	/**
	 * Looks up a setting. The narrowest matching exception wins: workspace, then host,
	 * service, data centre, then the default.
	 * @param setting setting to look up
	 * @param subject workspace, service, host and data centre to look it up for
	 * @return the value in force
	 */
	public long value(Setting setting, Subject subject) {
		Optional<ExceptionRule> rule = this.exceptions.stream()
			.filter((candidate) -> candidate.setting() == setting && subject.matches(candidate))
			.min(Comparator.comparingInt((candidate) -> precedence(candidate.scope())));
		if (rule.isPresent()) {
			return rule.get().value();
		}
		return this.defaults.stream()
			.filter((value) -> value.setting() == setting)
			.mapToLong(DefaultValue::value)
			.findFirst()
			.orElse(setting.defaultValue());
	}

	private static int precedence(ExceptionRule.Scope scope) {
		return switch (scope) {
			case WORKSPACE -> 0;
			case HOST -> 1;
			case SERVICE -> 2;
			case DATA_CENTRE -> 3;
		};
	}

	/**
	 * Returns whether a data centre is taken out of service.
	 * @param dataCentre name of the data centre
	 * @return {@code true} if it receives no new requests
	 */
	public boolean dataCentreOut(String dataCentre) {
		return this.dataCentresOut.stream().anyMatch((removal) -> removal.name().equals(dataCentre));
	}

	/**
	 * Returns whether a host is drained.
	 * @param host name of the host
	 * @return {@code true} if it receives no new requests
	 */
	public boolean hostDrained(String host) {
		return this.hostsDrained.stream().anyMatch((removal) -> removal.name().equals(host));
	}

	/**
	 * Returns the model that the engines of a service must load.
	 * @param service name of the service
	 * @return the placement, or empty if operators have published none
	 */
	public Optional<Placement> placement(String service) {
		return this.placements.stream().filter((placement) -> placement.service().equals(service)).findFirst();
	}

	/**
	 * Returns a copy with another version.
	 * @param value new version
	 * @return the changed copy
	 */
	public Configuration withVersion(long value) {
		return new Configuration(value, this.defaults, this.exceptions, this.dataCentresOut, this.hostsDrained,
				this.placements);
	}

	/**
	 * Returns a copy with one default set.
	 * @param value default that replaces any earlier one of its setting
	 * @return the changed copy
	 */
	public Configuration withDefault(DefaultValue value) {
		List<DefaultValue> changed = new ArrayList<>(this.defaults);
		changed.removeIf((old) -> old.setting() == value.setting());
		changed.add(value);
		return new Configuration(this.version, List.copyOf(changed), this.exceptions, this.dataCentresOut,
				this.hostsDrained, this.placements);
	}

	/**
	 * Returns a copy with other exceptions.
	 * @param changed all exceptions of the copy
	 * @return the changed copy
	 */
	public Configuration withExceptions(List<ExceptionRule> changed) {
		return new Configuration(this.version, this.defaults, List.copyOf(changed), this.dataCentresOut,
				this.hostsDrained, this.placements);
	}

	/**
	 * Returns a copy with other data centres taken out of service.
	 * @param changed all data centres out of service in the copy
	 * @return the changed copy
	 */
	public Configuration withDataCentresOut(List<Removal> changed) {
		return new Configuration(this.version, this.defaults, this.exceptions, List.copyOf(changed), this.hostsDrained,
				this.placements);
	}

	/**
	 * Returns a copy with other drained hosts.
	 * @param changed all drained hosts of the copy
	 * @return the changed copy
	 */
	public Configuration withHostsDrained(List<Removal> changed) {
		return new Configuration(this.version, this.defaults, this.exceptions, this.dataCentresOut,
				List.copyOf(changed), this.placements);
	}

	/**
	 * Returns a copy with one placement set.
	 * @param placement placement that replaces any earlier one of its service
	 * @return the changed copy
	 */
	public Configuration withPlacement(Placement placement) {
		List<Placement> changed = new ArrayList<>(this.placements);
		changed.removeIf((old) -> old.service().equals(placement.service()));
		changed.add(placement);
		return new Configuration(this.version, this.defaults, this.exceptions, this.dataCentresOut, this.hostsDrained,
				List.copyOf(changed));
	}

}
