package org.marjoramgw.entry.side;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.policy.candidate.Subset;
import org.marjoramgw.vmlist.Vm;
import org.marjoramgw.wire.PeerIdentity;

/**
 * Choice of the side processes that an entry keeps connections to: a bounded subset of
 * each pool of the VM list.
 *
 * @author The marjoramgw authors
 */
final class SideSubset {

	private static final int DEFAULT_SUBSET_COUNT = 24;

	private final PeerIdentity self;

	private final ConfigurationSource configuration;

	private Map<String, Vm> vmById = Map.of();

	private Set<String> entryIds = Set.of();

	private Set<String> chosen;

	private int chosenCount;

	SideSubset(PeerIdentity self, ConfigurationSource configuration) {
		this.self = self;
		this.configuration = configuration;
	}

	/**
	 * Takes a new VM list.
	 * @param vms all its VMs
	 */
	void setVms(List<Vm> vms) {
		this.vmById = vms.stream()
			.filter((vm) -> Vm.SIDE.equals(vm.role()))
			.collect(Collectors.toMap(Vm::id, (vm) -> vm, (first, second) -> second));
		this.entryIds = vms.stream()
			.filter((vm) -> Vm.ENTRY.equals(vm.role()))
			.map(Vm::id)
			.collect(Collectors.toUnmodifiableSet());
		this.chosen = null;
	}

	/**
	 * Finds a listed side process.
	 * @param sideId its id
	 * @return its VM, or empty if it isn't listed
	 */
	Optional<Vm> vm(String sideId) {
		return Optional.ofNullable(this.vmById.get(sideId));
	}

	Set<String> listedIds() {
		return this.vmById.keySet();
	}

	/**
	 * Returns the chosen side processes.
	 * @return their ids; the choice changes only with the list and the configured bound
	 */
	Set<String> ids() {
		int count = this.configuration.current()
			.map((current) -> current.limits().subsetCount())
			.orElse(DEFAULT_SUBSET_COUNT);
		if (this.chosen == null || count != this.chosenCount) {
			this.chosenCount = count;
			this.chosen = choose(count);
		}
		return this.chosen;
	}

	private Set<String> choose(int count) {
		Map<String, Map<String, String>> domainByIdByPool = new HashMap<>();
		for (Vm vm : this.vmById.values()) {
			domainByIdByPool.computeIfAbsent(vm.pool(), (pool) -> new HashMap<>()).put(vm.id(), vm.failureDomain());
		}
		Set<String> ids = new HashSet<>();
		for (Map<String, String> domainById : domainByIdByPool.values()) {
			ids.addAll(
					Subset.choose(this.self.processId(), this.self.failureDomain(), this.entryIds, domainById, count));
		}
		return ids;
	}

}
