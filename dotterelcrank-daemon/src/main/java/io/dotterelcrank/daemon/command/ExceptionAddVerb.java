package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.ExceptionRule;

/**
 * Adds an exception from the default of a setting.
 */
@Command(name = "add", description = "Add an exception from the default of a setting; needs a reason")
public class ExceptionAddVerb extends AbstractChangeVerb {

	@Option(name = "--id", title = "ID", description = "Id; must be unique among the current exceptions")
	String id;

	@Option(name = "--scope", title = "SCOPE", description = "Scope: workspace, service, host or data-centre")
	String scope;

	@Option(name = "--subject", title = "NAME", description = "Name of the workspace, service, host or data centre")
	String subject;

	@Option(name = "--setting", title = "SETTING", description = "Name of the setting")
	String setting;

	@Option(name = "--value", title = "VALUE", description = "Value of the setting for the subject")
	String value;

	@Option(name = "--reason", title = "TEXT", description = "Reason; required")
	String reason;

	@Override
	List<Change> changes() throws RequestException {
		return List
			.of(new Change.AddException(new ExceptionRule(this.id, ArgumentParser.parseScope(this.scope), this.subject,
					ArgumentParser.parseSetting(this.setting), ArgumentParser.parseInteger(this.value), this.reason)));
	}

}
