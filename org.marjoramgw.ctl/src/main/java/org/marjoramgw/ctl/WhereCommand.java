package org.marjoramgw.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import org.marjoramgw.HostPort;
import org.marjoramgw.ctl.internal.Command;
import org.marjoramgw.ctl.internal.Console;
import org.marjoramgw.ctl.internal.Messages;
import org.marjoramgw.ctl.internal.PlatformClients;
import org.marjoramgw.ctl.internal.WhereText;
import org.marjoramgw.errors.CodedException;
import org.marjoramgw.operator.WhereReport;
import org.marjoramgw.program.ExitCode;

/**
 * Shows where a direct entry process would send a request now, and why. Nothing is sent.
 *
 * @author The marjoramgw authors
 */
@Parameters(commandDescription = "Tell where a direct entry would send a request now, and why, without sending it")
final class WhereCommand extends Command {

	@Parameter(names = "--address", required = true, description = "Metrics address of the entry process, IP:PORT")
	private String address;

	@Parameter(names = "--host", required = true, description = "Host name of the request")
	private String host;

	@Parameter(names = "--path", required = true, description = "Path of the request")
	private String path;

	@Parameter(names = "--key", description = "Key of the client account")
	private String key;

	@Parameter(names = "--account", description = "Name of the client account, in place of its key")
	private String account;

	@Parameter(names = "--service", description = "Service of the route; by default, one is drawn by the weights")
	private String service;

	@Parameter(names = "--model", description = "Name of the model")
	private String model;

	@Parameter(names = "--part", description = "Parts of the prompt in order, ID:TOKENS; the last one isn't shared")
	private List<String> parts = new ArrayList<>();

	@Parameter(names = "--prompt-tokens", description = "Length of the prompt, in tokens")
	private Long promptTokens;

	@Parameter(names = "--deadline-ms", description = "Time that the caller waits, in milliseconds")
	private Long deadlineMillis;

	WhereCommand() {
		super("where");
	}

	@Override
	public int run(Console console) throws CodedException {
		HostPort entry = parse(this.address);
		try (PlatformClients clients = new PlatformClients(options())) {
			WhereReport report = clients.entryClient().where(entry, parameters());
			console.result(report, WhereText.of(report));
			return ExitCode.OK;
		}
	}

	private static HostPort parse(String address) {
		try {
			return HostPort.parse(address);
		}
		catch (IllegalArgumentException ex) {
			throw new ParameterException(Messages.badAddress("--address", ex.getMessage()));
		}
	}

	private List<Map.Entry<String, String>> parameters() {
		List<Map.Entry<String, String>> parameters = new ArrayList<>();
		add(parameters, "host", this.host);
		add(parameters, "path", this.path);
		add(parameters, "key", this.key);
		add(parameters, "account", this.account);
		add(parameters, "service", this.service);
		add(parameters, "model", this.model);
		this.parts.forEach((part) -> add(parameters, "part", part));
		add(parameters, "prompt_tokens", this.promptTokens);
		add(parameters, "deadline_ms", this.deadlineMillis);
		return parameters;
	}

	private static void add(List<Map.Entry<String, String>> parameters, String name, Object value) {
		if (value != null) {
			parameters.add(Map.entry(name, value.toString()));
		}
	}

}
