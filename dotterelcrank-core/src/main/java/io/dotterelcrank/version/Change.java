package io.dotterelcrank.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * One change to the configuration. Implementations are immutable and deterministic: the
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
	 * Finds what is wrong with the change.
	 * @param configuration configuration that the change is for
	 * @return the fault, or nothing if the change is valid
	 */
	Optional<String> validationError(Configuration configuration);

	/**
	 * Applies a valid change.
	 * @param configuration configuration that the change is for
	 * @param offset offset of the change in the log
	 * @return the changed configuration, its version not yet set
	 */
	Configuration apply(Configuration configuration, long offset);

	private static Optional<String> faultIf(boolean wrong, String text) {
		return wrong ? Optional.of(text) : Optional.empty();
	}

	private static boolean blank(String text) {
		return text == null || text.isBlank();
	}

	private static Optional<String> valueFault(Setting setting, long value) {
		if (setting == null) {
			return Optional.of("unknown setting");
		}
		return faultIf(!setting.allows(value), setting.label() + " must be between " + setting.minValue() + " and "
				+ setting.maxValue() + " " + setting.unit());
	}

	private static <T> List<T> without(List<T> list, Predicate<T> removed) {
		List<T> changed = new ArrayList<>(list);
		changed.removeIf(removed);
		return changed;
	}

	private static <T> List<T> replacing(List<T> list, Predicate<T> removed, T added) {
		List<T> changed = without(list, removed);
		changed.add(added);
		return changed;
	}

	/**
	 * Sets a fleet-wide default.
	 *
	 * @param setting the setting
	 * @param value its new value
	 */
	record SetDefault(Setting setting, long value) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return valueFault(this.setting, this.value);
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withDefault(new DefaultValue(this.setting, this.value));
		}

	}

	/**
	 * Adds an exception.
	 *
	 * @param rule the exception
	 */
	record AddException(ExceptionRule rule) implements Change {

		/** Largest number of exceptions in force. */
		static final int MOST_EXCEPTIONS = 200;

		@Override
		public Optional<String> validationError(Configuration configuration) {
			if (this.rule == null || blank(this.rule.id()) || blank(this.rule.subject()) || this.rule.scope() == null) {
				return Optional.of("an exception needs id, scope and subject");
			}
			if (blank(this.rule.reason())) {
				return Optional.of("an exception needs a written reason");
			}
			if (configuration.exceptions().stream().anyMatch((old) -> old.id().equals(this.rule.id()))) {
				return Optional.of("an exception with id " + this.rule.id() + " is in force");
			}
			if (configuration.exceptions().size() >= MOST_EXCEPTIONS) {
				return Optional.of("no more than " + MOST_EXCEPTIONS + " exceptions can be in force");
			}
			return valueFault(this.rule.setting(), this.rule.value());
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withExceptions(replacing(configuration.exceptions(), (old) -> false, this.rule));
		}

	}

	/**
	 * Removes an exception.
	 *
	 * @param id id of the exception
	 */
	record RemoveException(String id) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			boolean known = configuration.exceptions().stream().anyMatch((rule) -> rule.id().equals(this.id));
			return faultIf(!known, "no exception with id " + this.id + " is in force");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration
				.withExceptions(without(configuration.exceptions(), (rule) -> rule.id().equals(this.id)));
		}

	}

	/**
	 * Takes a data centre out.
	 *
	 * @param name its name
	 * @param reason why
	 */
	record DataCentreOut(String name, String reason) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return faultIf(blank(this.name) || blank(this.reason), "taking a data centre out needs name and reason");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withDataCentresOut(replacing(configuration.dataCentresOut(),
					(old) -> old.name().equals(this.name), new Removal(this.name, this.reason)));
		}

	}

	/**
	 * Brings a data centre back.
	 *
	 * @param name its name
	 */
	record DataCentreBack(String name) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return faultIf(!configuration.dataCentreOut(this.name), "data centre " + this.name + " is not out");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withDataCentresOut(
					without(configuration.dataCentresOut(), (removal) -> removal.name().equals(this.name)));
		}

	}

	/**
	 * Drains a host.
	 *
	 * @param name its name
	 * @param reason why
	 */
	record DrainHost(String name, String reason) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return faultIf(blank(this.name) || blank(this.reason), "draining a host needs name and reason");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withHostsDrained(replacing(configuration.hostsDrained(),
					(old) -> old.name().equals(this.name), new Removal(this.name, this.reason)));
		}

	}

	/**
	 * Ends the draining of a host.
	 *
	 * @param name its name
	 */
	record RestoreHost(String name) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			return faultIf(!configuration.hostDrained(this.name), "host " + this.name + " is not drained");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration
				.withHostsDrained(without(configuration.hostsDrained(), (old) -> old.name().equals(this.name)));
		}

	}

	/**
	 * States what the engines of a service are to hold.
	 *
	 * @param placement the wanted state; its fencing number is ignored
	 */
	record Place(Placement placement) implements Change {

		@Override
		public Optional<String> validationError(Configuration configuration) {
			boolean missing = this.placement == null || blank(this.placement.service()) || blank(this.placement.model())
					|| blank(this.placement.modelVersion()) || blank(this.placement.role())
					|| this.placement.adapter() == null;
			return faultIf(missing, "a placement needs service, model, version and role");
		}

		@Override
		public Configuration apply(Configuration configuration, long offset) {
			return configuration.withPlacement(this.placement.withFence(offset));
		}

	}

}
