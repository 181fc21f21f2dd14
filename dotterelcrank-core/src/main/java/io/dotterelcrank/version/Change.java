package io.dotterelcrank.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A change to the configuration. Implementations are immutable and deterministic: the
 * same change applied to the same configuration gives the same result in every process.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "change")
@JsonSubTypes({ @JsonSubTypes.Type(value = Change.SetDefault.class, name = "set-default"),
		@JsonSubTypes.Type(value = Change.AddException.class, name = "add-exception"),
		@JsonSubTypes.Type(value = Change.RemoveException.class, name = "remove-exception"),
		@JsonSubTypes.Type(value = Change.DataCentreOut.class, name = "data-centre-out"),
		@JsonSubTypes.Type(value = Change.DataCentreBack.class, name = "data-centre-back"),
		@JsonSubTypes.Type(value = Change.DrainHost.class, name = "drain-host"),
		@JsonSubTypes.Type(value = Change.RestoreHost.class, name = "restore-host"),
		@JsonSubTypes.Type(value = Change.Place.class, name = "place") })
public sealed interface Change {

	/**
	 * Checks whether the change can be applied to a configuration.
	 * @param configuration configuration to apply the change to
	 * @return the error, or empty if the change is valid
	 */
	Optional<String> validationError(Configuration configuration);

	/**
	 * Applies a valid change.
	 * @param configuration configuration to apply the change to
	 * @param offset offset of the change in the log
	 * @return the changed configuration, still with the old version
	 */
	Configuration apply(Configuration configuration, long offset);

	private static Optional<String> errorIf(boolean invalid, String error) {
		return invalid ? Optional.of(error) : Optional.empty();
	}

	private static boolean blank(String text) {
		return text == null || text.isBlank();
	}

	private static Optional<String> valueError(Setting setting, long value) {
		if (setting == null) {
			return Optional.of("unknown setting");
		}
		return errorIf(!setting.allows(value), setting.label() + " must be between " + setting.minValue() + " and "
				+ setting.maxValue() + " " + setting.unit());
	}

	private static <T> List<T> without(List<T> list, Predicate<T> removed) {
		List<T> changed = new ArrayList<>(list);
		changed.removeIf(removed);
		return changed;
	}

	private static <T> List<T> replacing(List<T> list, Predicate<T> replaced, T added) {
		List<T> changed = without(list, replaced);
		changed.add(added);
		return changed;
	}

	/**
	 * Sets a fleet-wide default.
	 *
	 * @param setting setting to change
	 * @param value new default
	 */
	record SetDefault(Setting setting, long value) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return valueError(this.setting, this.value);
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withDefault(new DefaultValue(this.setting, this.value));
		}

	}

	/**
	 * Adds an exception from a fleet-wide default.
	 *
	 * @param rule exception with a new id
	 */
	record AddException(ExceptionRule rule) implements Change {

		/** Maximum number of exceptions in force. */
		static final int MAX_EXCEPTIONS = 200;

		@Override
		public Optional<String> validationError(Configuration configuration) {
			if (this.rule == null || blank(this.rule.id()) || blank(this.rule.subject()) || this.rule.scope() == null) {
				return Optional.of("an exception requires id, scope and subject");
			}
			if (blank(this.rule.reason())) {
				return Optional.of("an exception requires a reason");
			}
			if (configuration.exceptions().stream().anyMatch((old) -> old.id().equals(this.rule.id()))) {
				return Optional.of("an exception with id " + this.rule.id() + " already exists");
			}
			if (configuration.exceptions().size() >= MAX_EXCEPTIONS) {
				return Optional.of("at most " + MAX_EXCEPTIONS + " exceptions are allowed");
			}
			return valueError(this.rule.setting(), this.rule.value());
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withExceptions(replacing(configuration.exceptions(), (old) -> false, this.rule));
		}

	}

	/**
	 * Removes an exception.
	 *
	 * @param id id of an exception in force
	 */
	record RemoveException(String id) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			boolean known = configuration.exceptions().stream().anyMatch((rule) -> rule.id().equals(this.id));
			return errorIf(!known, "no exception with id " + this.id + " exists");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration
				.withExceptions(without(configuration.exceptions(), (rule) -> rule.id().equals(this.id)));
		}

	}

	/**
	 * Takes a data centre out of service.
	 *
	 * @param name name of the data centre
	 * @param reason reason as written by the operator
	 */
	record DataCentreOut(String name, String reason) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return errorIf(blank(this.name) || blank(this.reason),
					"taking a data centre out of service requires name and reason");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withDataCentresOut(replacing(configuration.dataCentresOut(),
					(old) -> old.name().equals(this.name), new Removal(this.name, this.reason)));
		}

	}

	/**
	 * Returns a data centre to service.
	 *
	 * @param name name of a data centre that is out of service
	 */
	record DataCentreBack(String name) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return errorIf(!configuration.dataCentreOut(this.name),
					"data centre " + this.name + " is not out of service");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withDataCentresOut(
					without(configuration.dataCentresOut(), (removal) -> removal.name().equals(this.name)));
		}

	}

	/**
	 * Drains a host, so that it receives no new requests.
	 *
	 * @param name name of the host
	 * @param reason reason as written by the operator
	 */
	record DrainHost(String name, String reason) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return errorIf(blank(this.name) || blank(this.reason), "draining a host requires name and reason");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withHostsDrained(replacing(configuration.hostsDrained(),
					(old) -> old.name().equals(this.name), new Removal(this.name, this.reason)));
		}

	}

	/**
	 * Returns a drained host to service.
	 *
	 * @param name name of a drained host
	 */
	record RestoreHost(String name) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return errorIf(!configuration.hostDrained(this.name), "host " + this.name + " is not drained");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration
				.withHostsDrained(without(configuration.hostsDrained(), (old) -> old.name().equals(this.name)));
		}

	}

	/**
	 * Sets the model that the engines of a service must load.
	 *
	 * @param placement model to load; its fencing token is replaced by the offset of the
	 * change
	 */
	record Place(Placement placement) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			boolean missing = this.placement == null || blank(this.placement.service()) || blank(this.placement.model())
					|| blank(this.placement.modelVersion()) || blank(this.placement.role())
					|| this.placement.adapter() == null;
			return errorIf(missing, "a placement requires service, model, version and role");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withPlacement(this.placement.withFence(offset));
		}

	}

}
