package io.dotterelcrank.daemon.wiring;

import javax.inject.Singleton;

import dagger.BindsInstance;
import dagger.Component;

import io.dotterelcrank.daemon.settings.SidecarSettings;

/**
 * Dagger component that creates a sidecar daemon.
 */
@Singleton
@Component(modules = { CommonModule.class, SidecarModule.class })
public interface SidecarComponent {

	/**
	 * Returns the daemon.
	 * @return the daemon, with a running sidecar process; it does not listen yet
	 */
	SidecarDaemon daemon();

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
		SidecarComponent create(@BindsInstance SidecarSettings settings);

	}

}
