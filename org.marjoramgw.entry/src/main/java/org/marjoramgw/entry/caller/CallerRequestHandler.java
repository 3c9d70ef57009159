package org.marjoramgw.entry.caller;

import java.util.UUID;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.marjoramgw.ResultCode;
import org.marjoramgw.config.ClientAccount;
import org.marjoramgw.config.Service;
import org.marjoramgw.entry.dispatch.DispatchContext;
import org.marjoramgw.entry.dispatch.RequestActor;
import org.marjoramgw.entry.dispatch.RequestEvent;
import org.marjoramgw.entry.dispatch.ResponseSink;
import org.marjoramgw.entry.dispatch.RoutedRequest;
import org.marjoramgw.errors.RequestRejectedException;

/**
 * Handler of callers' requests: reads, authenticates, classifies and starts them.
 *
 * @author The marjoramgw authors
 */
final class CallerRequestHandler {

	private static final long BODY_TIMEOUT_MILLIS = 30_000;

	private final ActorSystem<?> system;

	private final EntryContext parts;

	CallerRequestHandler(ActorSystem<?> system, EntryContext parts) {
		this.system = system;
		this.parts = parts;
	}

	CompletionStage<HttpResponse> chat(HttpRequest http) {
		return handle(http, (table, account, requestId, body, head) -> {
			ChatRequest chat = ChatRequest.parse(body);
			RoutedRequest request = CallerRequests.chat(table, account, requestId, http, body, chat);
			ChatCompletionJson text = new ChatCompletionJson(requestId, chat.model());
			ResponseSink sink = chat.streamed()
					? new StreamedChatResponse(head, text, requestId, this.system, () -> callerGone(requestId))
					: new BufferedChatResponse(head, text);
			start(table, request, sink);
		});
	}

	CompletionStage<HttpResponse> plain(HttpRequest http, String service, String rest) {
		return handle(http,
				(table, account, requestId, body, head) -> start(table, CallerRequests.plain(table, account, requestId,
						http, body, service, rest, this.parts.claimPartitionCount()), new PlainServiceResponse(head)));
	}

	CompletionStage<HttpResponse> unknownPath(HttpRequest http) {
		http.discardEntityBytes(this.system);
		PendingResponse head = new PendingResponse(newRequestId());
		reject(head, new RequestRejectedException(ResultCode.UNKNOWN_PATH, http.getUri().path()));
		return head.response();
	}

	private CompletionStage<HttpResponse> handle(HttpRequest http, BodyHandler call) {
		String requestId = newRequestId();
		PendingResponse head = new PendingResponse(requestId);
		try {
			RoutingTable table = this.parts.routingTable();
			ClientAccount account = table.authenticate(CallerRequests.bearerKey(http));
			int bound = CallerRequests.bodyBound(table.configuration().limits(), http);
			http.entity()
				.withSizeLimit(bound)
				.toStrict(BODY_TIMEOUT_MILLIS, this.system)
				.whenComplete((entity, failure) -> {
					if (failure != null) {
						reject(head, new RequestRejectedException(ResultCode.BODY_TOO_LARGE, "or cut short"));
						return;
					}
					run(call, table, account, requestId, entity.getData().toArray(), head);
				});
		}
		catch (RequestRejectedException ex) {
			http.discardEntityBytes(this.system);
			reject(head, ex);
		}
		return head.response();
	}

	private void run(BodyHandler call, RoutingTable table, ClientAccount account, String requestId, byte[] body,
			PendingResponse head) {
		try {
			call.run(table, account, requestId, body, head);
		}
		catch (RequestRejectedException ex) {
			reject(head, ex);
		}
	}

	private void start(RoutingTable table, RoutedRequest request, ResponseSink sink) throws RequestRejectedException {
		checkBackends(table, request.service());
		DispatchContext context = this.parts.dispatchContext(table);
		if (!context.openRequests().tryOpen(request.requestClass().name(), context.settings().openRequestsPerClass())) {
			throw new RequestRejectedException(ResultCode.ENTRY_FULL, request.requestClass().name());
		}
		context.decisions()
			.add(request.requestId(), "accept", null, request.requestClass().name() + " of " + request.account().name()
					+ " for " + request.service().name());
		this.system.systemActorOf(RequestActor.create(request, context, sink), "request-" + request.requestId(),
				Props.empty());
	}

	private void checkBackends(RoutingTable table, Service service) throws RequestRejectedException {
		if (this.parts.sides().live(service.pool()).isEmpty()) {
			throw new RequestRejectedException(ResultCode.NO_BACKEND, service.name());
		}
		for (String name : service.dependsOn()) {
			Service needed = table.configuration().services().get(name);
			if (needed != null && this.parts.sides().live(needed.pool()).isEmpty()) {
				throw new RequestRejectedException(ResultCode.DEPENDENCY_DOWN, name);
			}
		}
	}

	private void reject(PendingResponse head, RequestRejectedException rejection) {
		this.parts.counters().count(rejection.code());
		this.parts.decisions().add(head.requestId(), "reject", rejection.code(), rejection.getMessage());
		head.sendError(rejection.code(), rejection.detail(), 0);
	}

	private void callerGone(String requestId) {
		this.parts.openRequests().tell(requestId, new RequestEvent.CallerDisconnected());
	}

	private static String newRequestId() {
		return UUID.randomUUID().toString();
	}

	/**
	 * Start of one kind of call.
	 */
	@FunctionalInterface
	private interface BodyHandler {

		void run(RoutingTable table, ClientAccount account, String requestId, byte[] body, PendingResponse head)
				throws RequestRejectedException;

	}

}
