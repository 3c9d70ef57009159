package org.marjoramgw.entry.side;

import java.util.Optional;

import org.apache.pekko.actor.typed.ActorRef;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ConfigurationSource;
import org.marjoramgw.entry.dispatch.OpenRequests;
import org.marjoramgw.entry.dispatch.RequestEvent;
import org.marjoramgw.metrics.ResultCounters;
import org.marjoramgw.wire.HelloValidator;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.PeerStatus;

/**
 * Dispatcher of messages from side processes to open requests, the configuration source
 * and the link manager; thread-safe.
 *
 * @author The marjoramgw authors
 */
final class SideMessageDispatcher implements SideLinkListener {

	private final String peerToken;

	private final OpenRequests openRequests;

	private final ConfigurationSource configuration;

	private final ResultCounters counters;

	private final ActorRef<SideLinkManager.Command> linkManager;

	SideMessageDispatcher(String peerToken, OpenRequests openRequests, ConfigurationSource configuration,
			ResultCounters counters, ActorRef<SideLinkManager.Command> linkManager) {
		this.peerToken = peerToken;
		this.openRequests = openRequests;
		this.configuration = configuration;
		this.counters = counters;
		this.linkManager = linkManager;
	}

	@Override
	public Optional<ResultCode> checkHello(Message.Hello hello) {
		return HelloValidator.validate(hello, this.peerToken);
	}

	@Override
	public void onEstablished(SideLink link, Message.Hello hello) {
		this.linkManager.tell(new SideLinkManager.LinkEstablished(link));
		onStatus(link, hello.status());
	}

	@Override
	public void onStatus(SideLink link, PeerStatus status) {
		this.configuration.fetchRequestFor(status).ifPresent(link::send);
	}

	@Override
	public void onMessage(SideLink link, Message message) {
		if (message instanceof Message.ConfigText text) {
			this.configuration.offerFromPeer(text);
		}
		else if (message instanceof Message.ConfigFetch fetch) {
			this.configuration.replyTo(fetch).ifPresent(link::send);
		}
		else {
			onRequestMessage(link, message);
		}
	}

	@Override
	public void onRejected(SideLink link, ResultCode code) {
		this.counters.count(code);
		link.close();
	}

	@Override
	public void onClosed(SideLink link, ResultCode reason) {
		this.linkManager.tell(new SideLinkManager.LinkClosed(link, reason));
	}

	private void onRequestMessage(SideLink link, Message message) {
		String sideId = link.vm().id();
		if (message instanceof Message.Grant grant) {
			if (!tell(sideId, grant.requestId(), grant)) {
				link.send(new Message.Release(grant.requestId(), grant.attempt()));
			}
		}
		else if (message instanceof Message.Chunk chunk) {
			if (!tell(sideId, chunk.requestId(), chunk)) {
				this.counters.count(ResultCode.STALE_CHUNK);
				link.send(new Message.Cancel(chunk.requestId(), chunk.attempt()));
			}
		}
		else if (message instanceof Message.Refusal refusal) {
			tell(sideId, refusal.requestId(), refusal);
		}
		else if (message instanceof Message.End end) {
			tell(sideId, end.requestId(), end);
		}
		else {
			onRejected(link, ResultCode.BAD_FRAME);
		}
	}

	private boolean tell(String sideId, String requestId, Message message) {
		return this.openRequests.tell(requestId, new RequestEvent.MessageReceived(sideId, message));
	}

}
