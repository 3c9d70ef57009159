package org.marjoramgw.policy.slot;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;

import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Configuration;
import org.marjoramgw.config.Limits;
import org.marjoramgw.config.RequestClass;
import org.marjoramgw.policy.preemption.PreemptionChoice;
import org.marjoramgw.policy.preemption.RunningRequest;
import org.marjoramgw.policy.queue.ArrivalEstimate;
import org.marjoramgw.policy.queue.ArrivalOrder;
import org.marjoramgw.policy.queue.ClassQueues;
import org.marjoramgw.policy.queue.GrantOrder;
import org.marjoramgw.policy.queue.RequestKey;
import org.marjoramgw.policy.queue.TierOrder;
import org.marjoramgw.policy.queue.Waiting;
import org.marjoramgw.policy.share.AccountUsage;
import org.marjoramgw.policy.share.ClassFloors;
import org.marjoramgw.policy.share.SlotOutlook;
import org.marjoramgw.policy.share.SlotTimes;

/**
 * Allocation of the slots of one backend server to the requests that wait for them.
 * <p>
 * Does no input or output and takes the time as an argument; not thread-safe.
 *
 * @author The marjoramgw authors
 */
public final class SlotScheduler {

	private static final String FCFS = "fcfs";

	private final boolean model;

	private final StartTimes startTimes;

	private final ClassQueues queues = new ClassQueues();

	private final SlotTimes slotTimes = new SlotTimes();

	private final ClassFloors floors;

	private final AccountUsage usage = new AccountUsage();

	private final SlotHolders holders;

	private final ArrivalEstimate estimate = new ArrivalEstimate(this.slotTimes);

	private final PreemptionChoice preemption = new PreemptionChoice();

	private final RecentGap recentGap = new RecentGap();

	private GrantOrder order = new ArrivalOrder();

	private SlotLimit limit = new FixedSlotLimit(1);

	private Map<String, RequestClass> classes = Map.of();

	private Limits limits;

	private int topTier = 1;

	/**
	 * Creates a scheduler that accepts nothing until it is configured.
	 * @param model whether the backend server is a model engine
	 * @param spreadSeed number that differs between side processes
	 * @param nowMillis the present time, in milliseconds
	 */
	public SlotScheduler(boolean model, int spreadSeed, long nowMillis) {
		this.model = model;
		this.startTimes = new StartTimes(spreadSeed);
		this.floors = new ClassFloors(nowMillis);
		this.holders = new SlotHolders(this.floors, this.usage, this.slotTimes);
	}

	/**
	 * Takes a configuration; what waits and what runs stays.
	 * @param configuration the configuration
	 */
	public void configure(Configuration configuration) {
		boolean sameBounds = this.limits != null && this.limits.equals(configuration.limits());
		this.limits = configuration.limits();
		this.classes = configuration.classes();
		this.topTier = this.classes.values().stream().mapToInt(RequestClass::tier).min().orElse(1);
		this.floors.setFloors(toMap(RequestClass::floorPercent));
		this.usage.setWeights(configuration.accounts()
			.values()
			.stream()
			.collect(Collectors.toMap(ClientAccount::name, ClientAccount::weight)));
		if (!sameBounds) {
			this.limit = newLimit();
		}
		this.order = newOrder();
	}

	/**
	 * Makes the waiting form of a request that has arrived.
	 * <p>
	 * Below the top tier a new request that misses the target for its first token is of
	 * no use: it would take its slot from one that can still meet its own. A request with
	 * more time than that target goes on with an answer that has begun.
	 * @param key its identity
	 * @param requestClass its class
	 * @param account name of the client account
	 * @param startWithinMillis time left until the latest useful start, in milliseconds
	 * @param nowMillis the present time, in milliseconds
	 * @return the request
	 */
	public Waiting arrival(RequestKey key, RequestClass requestClass, String account, long startWithinMillis,
			long nowMillis) {
		boolean top = requestClass.tier() == this.topTier;
		long targetMillis = isFcfs() ? startWithinMillis
				: this.startTimes.targetMillis(requestClass, top, startWithinMillis);
		long startMillis = top ? startWithinMillis : targetMillis;
		return new Waiting(key, requestClass.name(), requestClass.tier(), account, nowMillis, nowMillis + startMillis,
				nowMillis + targetMillis, false);
	}

	/**
	 * Lets a request wait for a slot, or refuses it.
	 * @param request the request
	 * @param nowMillis the present time, in milliseconds
	 * @return whether it waits, and the estimate of its wait
	 */
	public Admission offer(Waiting request, long nowMillis) {
		RequestClass requestClass = this.classes.get(request.requestClass());
		if (requestClass == null) {
			return new Admission(ResultCode.NOT_SERVED_HERE, 0);
		}
		long waitMillis = isFcfs() ? 0 : waitMillis(request.tier());
		if (request.isExpired(nowMillis + waitMillis)) {
			return new Admission(ResultCode.DEADLINE_UNREACHABLE, waitMillis);
		}
		if (!this.queues.add(request, requestClass.queueBound())) {
			return new Admission(ResultCode.QUEUE_FULL, waitMillis);
		}
		return new Admission(null, waitMillis);
	}

	/**
	 * Gives a free slot to the request whose turn it is.
	 * @param nowMillis the present time, in milliseconds
	 * @return the request that holds the slot now, or empty if none may
	 */
	public Optional<Waiting> next(long nowMillis) {
		int free = this.limit.slots() - this.holders.size();
		if (free <= 0) {
			return Optional.empty();
		}
		if (this.queues.size() == 0) {
			this.floors.forgetSurplus(nowMillis);
			return Optional.empty();
		}
		Optional<Waiting> next = this.order.next(ready(nowMillis), free, outlook(free, nowMillis), nowMillis);
		next.ifPresent((request) -> take(request, nowMillis));
		return next;
	}

	/**
	 * Moves a slot from a lower-tier stream to a top-tier request that has waited.
	 * @param nowMillis the present time, in milliseconds
	 * @return the move, or empty if none is due or allowed
	 */
	public Optional<Swap> preempt(long nowMillis) {
		if (!this.model || this.limits == null || !this.limits.preemption() || isFcfs()
				|| this.holders.size() < this.limit.slots()) {
			return Optional.empty();
		}
		Optional<Waiting> top = this.queues.all()
			.stream()
			.filter((request) -> request.tier() == this.topTier)
			.filter((request) -> this.startTimes.isPreemptionDue(request, nowMillis) && !isDeferred(request, nowMillis))
			.min(Comparator.comparingLong(Waiting::startByMillis));
		return top.flatMap((request) -> swapFor(request, nowMillis));
	}

	private List<Waiting> ready(long nowMillis) {
		return this.queues.all().stream().filter((request) -> !isDeferred(request, nowMillis)).toList();
	}

	private boolean isDeferred(Waiting request, long nowMillis) {
		return !isFcfs() && this.startTimes.isDeferrable(request, nowMillis)
				&& this.recentGap.exceeds(gapTargetMillis(request.requestClass()), nowMillis);
	}

	private long gapTargetMillis(String requestClass) {
		RequestClass known = this.classes.get(requestClass);
		return (known != null) ? known.tokenGapMillis() : 0;
	}

	private Optional<Swap> swapFor(Waiting top, long nowMillis) {
		SlotOutlook slots = outlook(0, nowMillis);
		Optional<RunningRequest> victim = this.preemption.choose(top.tier(), this.holders.resumable(),
				(name) -> this.floors.maySpare(name, slots, nowMillis));
		return victim.map((chosen) -> {
			Waiting preempted = this.holders.free(chosen.key(), nowMillis).orElseThrow().preempted();
			this.queues.add(preempted, Integer.MAX_VALUE);
			take(top, nowMillis);
			return new Swap(chosen.key(), top);
		});
	}

	/**
	 * Marks a slot's holder as a stream that can be preempted and resumed.
	 * @param key its identity
	 * @param contextTokens tokens that would have to be processed again
	 * @param preemptedCount how often it was preempted already
	 */
	public void resumable(RequestKey key, long contextTokens, int preemptedCount) {
		this.holders.find(key).ifPresent((holder) -> holder.setResumable(contextTokens, preemptedCount));
	}

	/**
	 * Notes tokens that a slot's holder generated.
	 * @param key its identity
	 * @param tokens how many
	 */
	public void generated(RequestKey key, int tokens) {
		this.holders.find(key).ifPresent((holder) -> holder.addTokens(tokens));
	}

	/**
	 * Takes a request out of the queue.
	 * @param key its identity
	 * @return whether it waited
	 */
	public boolean withdraw(RequestKey key) {
		boolean waited = this.queues.remove(key).isPresent();
		if (waited) {
			this.estimate.left(false);
		}
		return waited;
	}

	/**
	 * Frees the slot of a request.
	 * @param key its identity
	 * @param nowMillis the present time, in milliseconds
	 */
	public void free(RequestKey key, long nowMillis) {
		this.holders.free(key, nowMillis);
	}

	/**
	 * Notes how long a request that ran to its end held a slot.
	 * @param requestClass name of its class
	 * @param slotMillis the time, in milliseconds
	 */
	public void completed(String requestClass, long slotMillis) {
		this.slotTimes.add(requestClass, slotMillis);
	}

	/**
	 * Returns the requests that can no longer start usefully.
	 * @param nowMillis the present time, in milliseconds
	 * @return the requests, still waiting
	 */
	public List<Waiting> expired(long nowMillis) {
		return this.queues.expired(nowMillis);
	}

	/**
	 * Returns the queues.
	 * @return the waiting requests; to be read only
	 */
	public ClassQueues queues() {
		return this.queues;
	}

	/**
	 * Returns the slot limit.
	 * @return how many requests may be in flight now
	 */
	public int slotLimit() {
		return this.limit.slots();
	}

	/**
	 * Notes the mean gap between the tokens of one stream since the last note.
	 * @param requestClass name of its class
	 * @param gapMillis the measured gap, in milliseconds
	 */
	public void observeGap(String requestClass, double gapMillis) {
		long targetMillis = gapTargetMillis(requestClass);
		if (targetMillis > 0) {
			this.limit.observeGap(gapMillis, targetMillis);
			this.recentGap.observe(gapMillis);
		}
	}

	/**
	 * Adjusts the slot limit to the gaps noted since the last call.
	 * @param nowMillis the present time, in milliseconds
	 */
	public void adjust(long nowMillis) {
		this.limit.adjust(this.holders.size());
		this.recentGap.endPeriod(nowMillis);
	}

	/**
	 * Returns how many slots are taken.
	 * @return requests that hold a slot
	 */
	public int taken() {
		return this.holders.size();
	}

	/**
	 * Returns all slot-time that a class has used.
	 * @param requestClass name of the class
	 * @param nowMillis the present time, in milliseconds
	 * @return slot-time in milliseconds since the start
	 */
	public long slotMillis(String requestClass, long nowMillis) {
		return this.floors.slotMillis(requestClass, nowMillis);
	}

	private SlotOutlook outlook(int freeSlots, long nowMillis) {
		long nextFreeInMillis = (freeSlots > 1) ? 0 : this.holders.nextFreeInMillis(nowMillis);
		return new SlotOutlook(this.limit.slots(), nextFreeInMillis);
	}

	private void take(Waiting request, long nowMillis) {
		this.queues.remove(request.key());
		this.estimate.left(true);
		this.holders.take(request, nowMillis);
	}

	private long waitMillis(int tier) {
		return this.estimate.waitMillis(tier, this.queues.all(), this.holders.requests(), this.limit.slots());
	}

	private boolean isFcfs() {
		return this.limits != null && FCFS.equals(this.limits.queueOrder());
	}

	private SlotLimit newLimit() {
		return this.model ? new AdaptiveSlotLimit(this.limits.minSlotCount(), this.limits.slotCount())
				: new FixedSlotLimit(this.limits.plainSlotCount());
	}

	private GrantOrder newOrder() {
		int headroom = this.model ? this.limits.headroomSlotCount() : 0;
		return isFcfs() ? new ArrivalOrder() : new TierOrder(this.floors, this.usage, this.topTier, headroom);
	}

	private Map<String, Integer> toMap(ToIntFunction<RequestClass> value) {
		return this.classes.values().stream().collect(Collectors.toMap(RequestClass::name, value::applyAsInt));
	}

}
