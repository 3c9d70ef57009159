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
 * Lookup tables of one configuration revision: account by bearer key, request class,
 * service and candidate selector.
 *
 * @author The marjoramgw authors
 */
final class RoutingTable {

	private final Configuration configuration;

	private final Map<ClientAccount, byte[]> keyDigestByAccount;

	private final CandidateSelector selector;

	RoutingTable(Configuration configuration, Random random) {
		this.configuration = configuration;
		this.selector = Selectors.create(configuration.limits().selector(), random);
		this.keyDigestByAccount = configuration.accounts()
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
	 * Finds the account of a bearer key. The comparison takes constant time, so that its
	 * duration reveals nothing about a valid key.
	 * @param bearerKey the presented key, if any
	 * @return the account
	 * @throws RequestRejectedException if the key is missing or belongs to no account
	 */
	ClientAccount authenticate(Optional<String> bearerKey) throws RequestRejectedException {
		byte[] presentedDigest = Hashing.sha256()
			.hashString(bearerKey.orElse(""), StandardCharsets.UTF_8)
			.toString()
			.getBytes(StandardCharsets.UTF_8);
		ClientAccount found = null;
		for (Map.Entry<ClientAccount, byte[]> entry : this.keyDigestByAccount.entrySet()) {
			if (MessageDigest.isEqual(entry.getValue(), presentedDigest)) {
				found = entry.getKey();
			}
		}
		if (found == null || bearerKey.isEmpty()) {
			throw new RequestRejectedException(ResultCode.UNKNOWN_ACCOUNT, "");
		}
		return found;
	}

	/**
	 * Determines the class of a request: the one that it names, or that of the first
	 * matching rule.
	 * @param requestedClass name of the class that the request asks for, if any
	 * @param account name of the client account
	 * @param path path of the request
	 * @return the class
	 * @throws RequestRejectedException if the named class is not configured, or none is
	 * named and no rule matches
	 */
	RequestClass classify(Optional<String> requestedClass, String account, String path)
			throws RequestRejectedException {
		Optional<String> name = requestedClass.or(() -> classByRule(account, path));
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
	 * @throws RequestRejectedException if no service serves the model
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

	private Optional<String> classByRule(String account, String path) {
		return this.configuration.rules()
			.stream()
			.filter((rule) -> rule.matches(account, path))
			.map(ClassRule::requestClass)
			.findFirst();
	}

}
