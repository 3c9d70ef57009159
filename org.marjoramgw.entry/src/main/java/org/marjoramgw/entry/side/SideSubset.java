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
 * Subset of the side processes that this entry connects to: a bounded number of each pool
 * in the VM list.
 *
 * @author The marjoramgw authors
 */
final class SideSubset {

	private static final int DEFAULT_SUBSET_COUNT = 24;

	private final PeerIdentity identity;

	private final ConfigurationSource configuration;

	private Map<String, Vm> vmById = Map.of();

	private Set<String> entryIds = Set.of();

	private Set<String> chosenIds;

	private int chosenForCount;

	SideSubset(PeerIdentity identity, ConfigurationSource configuration) {
		this.identity = identity;
		this.configuration = configuration;
	}

	/**
	 * Replaces the VM list.
	 * @param vms all VMs in the list
	 */
	void setVms(List<Vm> vms) {
		this.vmById = vms.stream()
			.filter((vm) -> Vm.SIDE.equals(vm.role()))
			.collect(Collectors.toMap(Vm::id, (vm) -> vm, (first, second) -> second));
		this.entryIds = vms.stream()
			.filter((vm) -> Vm.ENTRY.equals(vm.role()))
			.map(Vm::id)
			.collect(Collectors.toUnmodifiableSet());
		this.chosenIds = null;
	}

	/**
	 * Finds the VM of a listed side process.
	 * @param sideId process id of the side process
	 * @return its VM, or empty if it isn't listed
	 */
	Optional<Vm> listedVm(String sideId) {
		return Optional.ofNullable(this.vmById.get(sideId));
	}

	Set<String> listedIds() {
		return this.vmById.keySet();
	}

	/**
	 * Returns the side processes in the subset. It changes only with the VM list and the
	 * configured size.
	 * @return their process ids
	 */
	Set<String> sideIds() {
		int count = this.configuration.current()
			.map((current) -> current.limits().subsetCount())
			.orElse(DEFAULT_SUBSET_COUNT);
		if (this.chosenIds == null || count != this.chosenForCount) {
			this.chosenForCount = count;
			this.chosenIds = choose(count);
		}
		return this.chosenIds;
	}

	private Set<String> choose(int count) {
		Map<String, Map<String, String>> domainByIdByPool = new HashMap<>();
		for (Vm vm : this.vmById.values()) {
			domainByIdByPool.computeIfAbsent(vm.pool(), (pool) -> new HashMap<>()).put(vm.id(), vm.failureDomain());
		}
		Set<String> ids = new HashSet<>();
		for (Map<String, String> domainById : domainByIdByPool.values()) {
			ids.addAll(Subset.choose(this.identity.processId(), this.identity.failureDomain(), this.entryIds,
					domainById, count));
		}
		return ids;
	}

}
