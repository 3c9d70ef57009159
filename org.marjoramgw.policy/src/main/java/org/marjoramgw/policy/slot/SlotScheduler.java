package org.marjoramgw.policy.slot;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.preemption.RunningRequest;
import org.marjoramgw.policy.preemption.VictimSelector;
import org.marjoramgw.policy.queue.ClassQueues;
import org.marjoramgw.policy.queue.FcfsOrder;
import org.marjoramgw.policy.queue.GrantOrder;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.WaitEstimator;
import org.marjoramgw.policy.queue.WaitingRequest;
import org.marjoramgw.policy.share.AccountUsage;
import org.marjoramgw.policy.share.ClassFloors;
import org.marjoramgw.policy.share.MeanSlotTimes;
import org.marjoramgw.policy.share.SlotForecast;

/**
 * Allocates the slots of one backend server to the requests that wait for them.
 * <p>
 * Does no input or output and takes the time as an argument; not thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class SlotScheduler {

	private final SchedulingRules rules;

	private final StartDeadlines startDeadlines;

	private final ClassQueues queues = new ClassQueues();

	private final MeanSlotTimes slotTimes = new MeanSlotTimes();

	private final ClassFloors floors;

	private final AccountUsage usage = new AccountUsage();

	private final SlotHolders holders;

	private final WaitEstimator waitEstimator = new WaitEstimator(this.slotTimes);

	private final VictimSelector victimSelector = new VictimSelector();

	private final RecentTokenGap recentGap = new RecentTokenGap();

	private GrantOrder order = new FcfsOrder();

	private SlotLimit limit = new FixedSlotLimit(1);

	/**
	 * Creates a scheduler that accepts no requests until it is configured.
	 * @param modelEngine whether the backend server is a model engine
	 * @param jitterSeed number that differs between side processes
	 * @param nowMillis current time, in milliseconds
	 */
	public SlotScheduler(boolean modelEngine, int jitterSeed, long nowMillis) {
		this.rules = new SchedulingRules(modelEngine);
		this.startDeadlines = new StartDeadlines(jitterSeed);
		this.floors = new ClassFloors(nowMillis);
		this.holders = new SlotHolders(this.floors, this.usage, this.slotTimes);
	}

	/**
	 * Applies a configuration; waiting and running requests are kept.
	 * @param configuration the configuration
	 */
	public void configure(Configuration configuration) {
		boolean sameLimits = this.rules.hasLimits(configuration.limits());
		this.rules.configure(configuration);
		this.floors.setFloors(this.rules.floorPercents());
		this.usage.setWeights(configuration.accounts()
			.values()
			.stream()
			.collect(Collectors.toMap(ClientAccount::name, ClientAccount::weight)));
		if (!sameLimits) {
			this.limit = this.rules.newSlotLimit();
		}
		this.order = this.rules.newOrder(this.floors, this.usage);
	}

	/**
	 * Creates the waiting request for a request that has arrived.
	 * <p>
	 * Below the top tier, a new request expires when it can no longer meet the target for
	 * its first token, since it would take its slot from one that still can. A request
	 * with more time left than that target continues an answer that has begun, and the
	 * target doesn't apply to it.
	 * @param key identity of the attempt
	 * @param requestClass class of the request
	 * @param account name of the client account
	 * @param startWithinMillis time left until the latest useful start, in milliseconds
	 * @param nowMillis current time, in milliseconds
	 * @return the request
	 */
	public WaitingRequest newRequest(RequestKey key, RequestClass requestClass, String account, long startWithinMillis,
			long nowMillis) {
		boolean isTopTier = requestClass.tier() == this.rules.topTier();
		long targetMillis = this.rules.isFcfs() ? startWithinMillis
				: this.startDeadlines.targetStartWithinMillis(requestClass, isTopTier, startWithinMillis);
		long startMillis = isTopTier ? startWithinMillis : targetMillis;
		return new WaitingRequest(key, requestClass.name(), requestClass.tier(), account, nowMillis,
				nowMillis + startMillis, nowMillis + targetMillis, false);
	}

	/**
	 * Adds a request to the queue of its class, or refuses it.
	 * @param request the request
	 * @param nowMillis current time, in milliseconds
	 * @return whether it was accepted, and the estimate of its wait
	 */
	public Admission offer(WaitingRequest request, long nowMillis) {
		Optional<RequestClass> requestClass = this.rules.requestClass(request.requestClass());
		if (requestClass.isEmpty()) {
			return new Admission(ResultCode.NOT_SERVED_HERE, 0);
		}
		long waitMillis = this.rules.isFcfs() ? 0 : waitMillis(request.tier());
		if (request.isExpired(nowMillis + waitMillis)) {
			return new Admission(ResultCode.DEADLINE_UNREACHABLE, waitMillis);
		}
		if (!this.queues.add(request, requestClass.get().queueBound())) {
			return new Admission(ResultCode.QUEUE_FULL, waitMillis);
		}
		return new Admission(null, waitMillis);
	}

	/**
	 * Grants a free slot to the next request in order.
	 * @param nowMillis current time, in milliseconds
	 * @return the request that holds the slot now, or empty if none was granted
	 */
	public Optional<WaitingRequest> grantNext(long nowMillis) {
		int free = this.limit.slots() - this.holders.size();
		if (free <= 0) {
			return Optional.empty();
		}
		if (this.queues.size() == 0) {
			this.floors.discardHistory(nowMillis);
			return Optional.empty();
		}
		Optional<WaitingRequest> next = this.order.next(grantable(nowMillis), free, forecast(free, nowMillis),
				nowMillis);
		next.ifPresent((request) -> take(request, nowMillis));
		return next;
	}

	/**
	 * Preempts a stream of a lower tier in favor of a top-tier request that has waited
	 * long enough.
	 * @param nowMillis current time, in milliseconds
	 * @return the preemption, or empty if none is due or allowed
	 */
	public Optional<Preemption> preempt(long nowMillis) {
		if (!this.rules.isPreemptionAllowed() || this.holders.size() < this.limit.slots()) {
			return Optional.empty();
		}
		Optional<WaitingRequest> topTierRequest = this.queues.all()
			.stream()
			.filter((request) -> request.tier() == this.rules.topTier())
			.filter((request) -> this.startDeadlines.isPreemptionDue(request, nowMillis)
					&& !isDeferred(request, nowMillis))
			.min(Comparator.comparingLong(WaitingRequest::startByMillis));
		return topTierRequest.flatMap((request) -> preemptFor(request, nowMillis));
	}

	private List<WaitingRequest> grantable(long nowMillis) {
		return this.queues.all().stream().filter((request) -> !isDeferred(request, nowMillis)).toList();
	}

	private boolean isDeferred(WaitingRequest request, long nowMillis) {
		return !this.rules.isFcfs() && this.startDeadlines.isDeferrable(request, nowMillis)
				&& this.recentGap.exceeds(this.rules.tokenGapMillis(request.requestClass()), nowMillis);
	}

	private Optional<Preemption> preemptFor(WaitingRequest topTierRequest, long nowMillis) {
		SlotForecast slots = forecast(0, nowMillis);
		Optional<RunningRequest> victim = this.victimSelector.select(topTierRequest.tier(), this.holders.resumable(),
				(name) -> this.floors.canYieldSlot(name, slots, nowMillis));
		return victim.map((chosen) -> {
			WaitingRequest preempted = this.holders.free(chosen.key(), nowMillis).orElseThrow().asPreempted();
			this.queues.add(preempted, Integer.MAX_VALUE);
			take(topTierRequest, nowMillis);
			return new Preemption(chosen.key(), topTierRequest);
		});
	}

	/**
	 * Marks a request that holds a slot as a stream that can be preempted and resumed.
	 * @param key identity of the attempt
	 * @param contextTokens tokens that have to be recomputed to resume it
	 * @param preemptedCount number of times that it was preempted
	 */
	public void markResumable(RequestKey key, long contextTokens, int preemptedCount) {
		this.holders.find(key).ifPresent((holder) -> holder.setResumable(contextTokens, preemptedCount));
	}

	/**
	 * Records tokens that a request generated in its slot.
	 * @param key identity of the attempt
	 * @param tokens number of generated tokens
	 */
	public void addGeneratedTokens(RequestKey key, int tokens) {
		this.holders.find(key).ifPresent((holder) -> holder.addTokens(tokens));
	}

	/**
	 * Removes a request from its queue.
	 * @param key identity of the attempt
	 * @return whether it was waiting
	 */
	public boolean withdraw(RequestKey key) {
		boolean waited = this.queues.remove(key).isPresent();
		if (waited) {
			this.waitEstimator.onRemoved(false);
		}
		return waited;
	}

	/**
	 * Frees the slot of a request, if it holds one.
	 * @param key identity of the attempt
	 * @param nowMillis current time, in milliseconds
	 */
	public void free(RequestKey key, long nowMillis) {
		this.holders.free(key, nowMillis);
	}

	/**
	 * Records how long a request that ran to completion held its slot.
	 * @param requestClass name of its class
	 * @param slotMillis time that the slot was held, in milliseconds
	 */
	public void recordSlotTime(String requestClass, long slotMillis) {
		this.slotTimes.add(requestClass, slotMillis);
	}

	/**
	 * Returns the requests that can no longer start usefully.
	 * @param nowMillis current time, in milliseconds
	 * @return the requests, still waiting
	 */
	public List<WaitingRequest> expired(long nowMillis) {
		return this.queues.expired(nowMillis);
	}

	/**
	 * Returns the queues of waiting requests.
	 * @return the queues, not to be modified by the caller
	 */
	public ClassQueues queues() {
		return this.queues;
	}

	/**
	 * Returns the current slot limit.
	 * @return maximum number of requests in flight
	 */
	public int slotLimit() {
		return this.limit.slots();
	}

	/**
	 * Records the mean gap between the tokens of one stream since its previous record.
	 * @param requestClass name of its class
	 * @param gapMillis mean gap, in milliseconds
	 */
	public void observeTokenGap(String requestClass, double gapMillis) {
		long targetMillis = this.rules.tokenGapMillis(requestClass);
		if (targetMillis > 0) {
			this.limit.observeTokenGap(gapMillis, targetMillis);
			this.recentGap.observe(gapMillis);
		}
	}

	/**
	 * Adjusts the slot limit to the token gaps recorded since the previous call.
	 * @param nowMillis current time, in milliseconds
	 */
	public void adjustLimit(long nowMillis) {
		this.limit.adjust(this.holders.size());
		this.recentGap.endPeriod(nowMillis);
	}

	/**
	 * Returns the number of slots that are taken.
	 * @return number of requests that hold a slot
	 */
	public int takenSlots() {
		return this.holders.size();
	}

	/**
	 * Returns the total slot-time that a class has used.
	 * @param requestClass name of the class
	 * @param nowMillis current time, in milliseconds
	 * @return slot-time in milliseconds since the start
	 */
	public long usedSlotMillis(String requestClass, long nowMillis) {
		return this.floors.usedSlotMillis(requestClass, nowMillis);
	}

	private SlotForecast forecast(int freeSlots, long nowMillis) {
		long nextFreeInMillis = (freeSlots > 1) ? 0 : this.holders.nextFreeInMillis(nowMillis);
		return new SlotForecast(this.limit.slots(), nextFreeInMillis);
	}

	private void take(WaitingRequest request, long nowMillis) {
		this.queues.remove(request.key());
		this.waitEstimator.onRemoved(true);
		this.holders.take(request, nowMillis);
	}

	private long waitMillis(int tier) {
		return this.waitEstimator.waitMillis(tier, this.queues.all(), this.holders.requests(), this.limit.slots());
	}

}
