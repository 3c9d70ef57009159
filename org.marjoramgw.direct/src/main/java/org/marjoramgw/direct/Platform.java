package org.marjoramgw.direct;

import org.marjoramgw.direct.backend.BackendDialect;
import org.marjoramgw.direct.caller.CallerDialect;
import org.marjoramgw.direct.follow.ActiveRouting.RoutingDecoder;
import org.marjoramgw.direct.follow.CompactedTopic;
import org.marjoramgw.direct.follow.ServerDirectory.ServerDecoder;
import org.marjoramgw.direct.warmup.Samples;

/**
 * What a deployment's platform provides, in the product's terms.
 *
 * @param callerDialect names used towards callers
 * @param backendDialect names used towards backend servers
 * @param configuration topic that holds the configuration
 * @param configurationKey key of the configuration's record
 * @param routingDecoder decodes that record
 * @param servers topic that holds the registrations of backend servers
 * @param serverDecoder decodes a registration
 * @param samples sample messages
 * @author The marjoramgw authors
 */
public record Platform(CallerDialect callerDialect, BackendDialect backendDialect, CompactedTopic configuration,
		String configurationKey, RoutingDecoder routingDecoder, CompactedTopic servers, ServerDecoder serverDecoder,
		Samples samples) {
}
