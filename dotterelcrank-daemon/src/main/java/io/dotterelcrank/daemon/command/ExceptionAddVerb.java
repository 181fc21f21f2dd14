package io.dotterelcrank.daemon.command;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

import io.dotterelcrank.request.RequestException;
import io.dotterelcrank.version.Change;
import io.dotterelcrank.version.ExceptionRule;

/**
 * Adds an exception from a default.
 */
@Command(name = "add", description = "Add an exception from a default, with a written reason")
public class ExceptionAddVerb extends AbstractChangeVerb {

	/** Id of the exception. */
	@Option(name = "--id", title = "ID", description = "Id, unique among the exceptions in force")
	String id;

	/** What the subject names. */
	@Option(name = "--scope", title = "SCOPE", description = "workspace, service, host or data-centre")
	String scope;

	/** What the exception is for. */
	@Option(name = "--subject", title = "NAME", description = "Name of the workspace, service, host or data centre")
	String subject;

	/** Setting that differs. */
	@Option(name = "--setting", title = "SETTING", description = "Setting that differs")
	String setting;

	/** Value for the subject. */
	@Option(name = "--value", title = "VALUE", description = "Value for the subject")
	String value;

	/** Why. */
	@Option(name = "--reason", title = "TEXT", description = "Why; required")
	String reason;

	@Override
	List<Change> changes() throws RequestException {
		return List.of(new Change.AddException(new ExceptionRule(this.id, Words.scope(this.scope), this.subject,
				Words.setting(this.setting), Words.number(this.value), this.reason)));
	}

}
