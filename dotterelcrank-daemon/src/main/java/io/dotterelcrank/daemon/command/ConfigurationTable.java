package io.dotterelcrank.daemon.command;

import java.util.ArrayList;
import java.util.List;

import io.dotterelcrank.version.Configuration;
import io.dotterelcrank.version.DefaultValue;
import io.dotterelcrank.version.ExceptionRule;
import io.dotterelcrank.version.Placement;
import io.dotterelcrank.version.Removal;

/**
 * Formats a configuration as a table. Stateless.
 */
final class ConfigurationTable {

	private ConfigurationTable() {
	}

	/**
	 * Formats a configuration.
	 * @param configuration the configuration
	 * @return the rows; the first is the header
	 */
	static List<List<String>> toRows(Configuration configuration) {
		List<List<String>> rows = new ArrayList<>();
		rows.add(List.of("KIND", "NAME", "VALUE", "REASON"));
		rows.add(List.of("version", Long.toString(configuration.version()), "", ""));
		for (DefaultValue value : configuration.defaults()) {
			rows.add(List.of("default", value.setting().label(), value.value() + " " + value.setting().unit(), ""));
		}
		for (ExceptionRule rule : configuration.exceptions()) {
			rows.add(List.of("exception " + rule.id(), rule.scope() + " " + rule.subject(),
					rule.setting().label() + " " + rule.value() + " " + rule.setting().unit(), rule.reason()));
		}
		for (Removal removal : configuration.dataCentresOut()) {
			rows.add(List.of("data centre out", removal.name(), "", removal.reason()));
		}
		for (Removal removal : configuration.hostsDrained()) {
			rows.add(List.of("host drained", removal.name(), "", removal.reason()));
		}
		for (Placement placement : configuration.placements()) {
			rows.add(List.of("placement", placement.service(), placement.model() + " " + placement.modelVersion() + " "
					+ placement.adapter() + " " + placement.role() + " fence " + placement.fence(), ""));
		}
		return rows;
	}

}
