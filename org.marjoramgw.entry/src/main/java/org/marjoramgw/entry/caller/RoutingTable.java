package org.marjoramgw.entry.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;

import com.google.common.hash.Hashing;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ClassRule;
import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.config.Service;
import org.marjoramgw.config.ServiceKind;
import org.marjoramgw.errors.RequestRejectedException;
import org.marjoramgw.policy.candidate.CandidateSelector;
import org.marjoramgw.policy.candidate.Selectors;

/**
 * Look-ups of one configuration: account by key, class, service and selector.
 *
 * @author The marjoramgw authors
 */
final class RoutingTable {

	private final Configuration configuration;

	private final Map<ClientAccount, byte[]> digestByAccount;

	private final CandidateSelector selector;

	RoutingTable(Configuration configuration, Random random) {
		this.configuration = configuration;
		this.selector = Selectors.create(configuration.limits().selector(), random);
		this.digestByAccount = configuration.accounts()
			.values()
			.stream()
			.collect(Collectors.toMap((account) -> account,
					(account) -> account.keySha256().getBytes(StandardCharsets.UTF_8)));
	}

	Configuration configuration() {
		return this.configuration;
	}

	CandidateSelector selector() {
		return this.selector;
	}

	/**
	 * Finds the account of a bearer key, in a time that doesn't depend on the key.
	 * @param key the presented key
	 * @return the account
	 * @throws RequestRejectedException if no account has the key
	 */
	ClientAccount authenticate(Optional<String> key) throws RequestRejectedException {
		byte[] presented = Hashing.sha256()
			.hashString(key.orElse(""), StandardCharsets.UTF_8)
			.toString()
			.getBytes(StandardCharsets.UTF_8);
		ClientAccount found = null;
		for (Map.Entry<ClientAccount, byte[]> entry : this.digestByAccount.entrySet()) {
			if (MessageDigest.isEqual(entry.getValue(), presented)) {
				found = entry.getKey();
			}
		}
		if (found == null || key.isEmpty()) {
			throw new RequestRejectedException(ResultCode.UNKNOWN_ACCOUNT, "");
		}
		return found;
	}

	/**
	 * Classifies a request.
	 * @param named class that the request names, if any
	 * @param account name of the client account
	 * @param path path of the request
	 * @return the class
	 * @throws RequestRejectedException if there is no such class and no rule applies
	 */
	RequestClass classify(Optional<String> named, String account, String path) throws RequestRejectedException {
		Optional<String> name = named.or(() -> ruledClass(account, path));
		RequestClass requestClass = name.map(this.configuration.classes()::get).orElse(null);
		if (requestClass == null) {
			throw new RequestRejectedException(ResultCode.UNKNOWN_CLASS, name.orElse("no rule applies"));
		}
		return requestClass;
	}

	/**
	 * Finds the service of a model.
	 * @param model name of the model
	 * @return the service
	 * @throws RequestRejectedException if no service has the model
	 */
	Service serviceOfModel(String model) throws RequestRejectedException {
		return this.configuration.serviceOfModel(model)
			.orElseThrow(() -> new RequestRejectedException(ResultCode.UNKNOWN_MODEL, model));
	}

	/**
	 * Finds a plain service.
	 * @param name name of the service
	 * @return the service
	 * @throws RequestRejectedException if there is no such plain service
	 */
	Service plainService(String name) throws RequestRejectedException {
		Service service = this.configuration.services().get(name);
		if (service == null || service.kind() != ServiceKind.PLAIN) {
			throw new RequestRejectedException(ResultCode.UNKNOWN_SERVICE, name);
		}
		return service;
	}

	private Optional<String> ruledClass(String account, String path) {
		return this.configuration.rules()
			.stream()
			.filter((rule) -> rule.matches(account, path))
			.map(ClassRule::requestClass)
			.findFirst();
	}

}
