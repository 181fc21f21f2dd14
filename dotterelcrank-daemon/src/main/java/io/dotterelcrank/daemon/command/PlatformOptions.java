package io.dotterelcrank.daemon.command;

import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.daemon.settings.PlatformSettings;
import io.dotterelcrank.daemon.settings.SettingsReader;

/**
 * Flags that tell where the platform's systems are. Filled by the command line library.
 */
public class PlatformOptions {

	/** Address of all systems that have no address of their own. */
	@Option(name = "--platform", title = "URL", description = "Address of log, host list and weight store together")
	String platform;

	/** Address of the log. */
	@Option(name = "--log-address", title = "URL", description = "Address of the log")
	String log;

	/** Address of the host list. */
	@Option(name = "--host-list-address", title = "URL", description = "Address of the host list")
	String hostList;

	/** Address of the weight store. */
	@Option(name = "--weight-store-address", title = "URL", description = "Address of the weight store")
	String weightStore;

	/**
	 * Reads the addresses.
	 * @param reader collects faults
	 * @return the addresses
	 */
	PlatformSettings read(SettingsReader reader) {
		String all = reader.text("platform", this.platform, "");
		String standard = all.isEmpty() ? null : all;
		return new PlatformSettings(reader.url("log-address", this.log, standard),
				reader.url("host-list-address", this.hostList, standard),
				reader.url("weight-store-address", this.weightStore, standard));
	}

}
