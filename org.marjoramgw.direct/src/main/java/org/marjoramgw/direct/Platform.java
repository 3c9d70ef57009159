package org.marjoramgw.direct;

import java.util.Optional;

import org.marjoramgw.direct.backend.BackendDialect;
import org.marjoramgw.direct.caller.CallerDialect;
import org.marjoramgw.direct.duty.UsagePlatform;
import org.marjoramgw.direct.follow.ActiveRouting.RoutingDecoder;
import org.marjoramgw.direct.follow.AppendableTopic;
import org.marjoramgw.direct.follow.CompactedTopic;
import org.marjoramgw.direct.follow.ServerDirectory.ServerDecoder;
import org.marjoramgw.direct.warmup.Samples;

/**
 * Platform adapter of a deployment: the formats, topics and decoders that the entry
 * process needs from it.
 *
 * @param callerDialect header conventions of callers
 * @param backendDialect header conventions of backend servers
 * @param configuration topic that holds the configuration
 * @param configurationKey key of the configuration's record
 * @param routingDecoder decoder of that record
 * @param servers topic that holds the registrations of backend servers
 * @param serverDecoder decoder of a registration
 * @param quarantine topic of this system for crash reports and verdicts
 * @param entries topic of this system for the addresses of its entry processes
 * @param streams topic of this system for the versions at which streams began
 * @param usage what the usage reports need, or empty if there are none
 * @param samples sample messages for the warm-up
 * @author The marjoramgw authors
 */
public record Platform(CallerDialect callerDialect, BackendDialect backendDialect, CompactedTopic configuration,
		String configurationKey, RoutingDecoder routingDecoder, CompactedTopic servers, ServerDecoder serverDecoder,
		AppendableTopic quarantine, AppendableTopic entries, AppendableTopic streams, Optional<UsagePlatform> usage,
		Samples samples) {
}
