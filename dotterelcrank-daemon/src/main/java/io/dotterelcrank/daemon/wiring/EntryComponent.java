package io.dotterelcrank.daemon.wiring;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;

import io.dotterelcrank.daemon.settings.EntrySettings;

/**
 * Dagger component that creates an entry daemon.
 */
@Singleton
@Component(modules = { CommonModule.class, EntryModule.class })
public interface EntryComponent {

	/**
	 * Returns the daemon.
	 * @return the daemon, with a running entry process; its servers are not started
	 */
	EntryDaemon daemon();

	/**
	 * Creates components.
	 */
	@Component.Factory
	interface Factory {

		/**
		 * Creates a component.
		 * @param settings settings of the daemon
		 * @return a new component
		 */
		EntryComponent create(@BindsInstance EntrySettings settings);

	}

}
