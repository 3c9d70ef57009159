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
import org.marjoramgw.http.BodyReader;
import org.marjoramgw.http.MemoryLimit;

/**
 * Handler of callers' HTTP requests: authenticates, reads, classifies and starts them.
 *
 * @author The marjoramgw authors
 */
final class CallerRequestHandler {

	private static final long BODY_TIMEOUT_MILLIS = 30_000;

	private final ActorSystem<?> system;

	private final BodyReader bodyReader;

	private final EntryContext entryContext;

	CallerRequestHandler(ActorSystem<?> system, EntryContext entryContext) {
		this.system = system;
		this.bodyReader = new BodyReader(system);
		this.entryContext = entryContext;
	}

	CompletionStage<HttpResponse> handleChat(HttpRequest http) {
		return handle(http, (table, account, requestId, body, response) -> {
			ChatRequest chat = ChatRequest.parse(body);
			RoutedRequest request = CallerRequests.toChatRequest(table, account, requestId, http, body, chat);
			ChatCompletionJson json = new ChatCompletionJson(requestId, chat.model());
			ResponseSink sink = chat.streamed() ? new StreamedChatResponse(response, json, requestId, this.system,
					() -> onCallerDisconnected(requestId)) : new BufferedChatResponse(response, json);
			startRequest(table, request, sink);
		});
	}

	CompletionStage<HttpResponse> handlePlainService(HttpRequest http, String service, String remainingPath) {
		return handle(http,
				(table, account, requestId, body, response) -> startRequest(
						table, CallerRequests.toPlainRequest(table, account, requestId, http, body, service,
								remainingPath, this.entryContext.claimPartitionCount()),
						new PlainServiceResponse(response)));
	}

	CompletionStage<HttpResponse> rejectUnknownPath(HttpRequest http) {
		http.discardEntityBytes(this.system);
		PendingResponse response = new PendingResponse(newRequestId());
		reject(response, new RequestRejectedException(ResultCode.UNKNOWN_PATH, http.getUri().path()));
		return response.response();
	}

	private CompletionStage<HttpResponse> handle(HttpRequest http, BodyHandler bodyHandler) {
		String requestId = newRequestId();
		PendingResponse response = new PendingResponse(requestId);
		try {
			RoutingTable table = this.entryContext.routingTable();
			ClientAccount account = table.authenticate(CallerRequests.bearerKey(http));
			int maxBodyBytes = CallerRequests.maxBodyBytes(table.configuration().limits(), http);
			this.bodyReader.read(http.entity().withSizeLimit(maxBodyBytes), BODY_TIMEOUT_MILLIS, MemoryLimit.NONE)
				.whenComplete((entity, failure) -> {
					if (failure != null) {
						reject(response, new RequestRejectedException(ResultCode.BODY_TOO_LARGE, "or cut short"));
						return;
					}
					handleBody(bodyHandler, table, account, requestId, entity.getData().toArray(), response);
				});
		}
		catch (RequestRejectedException ex) {
			http.discardEntityBytes(this.system);
			reject(response, ex);
		}
		return response.response();
	}

	private void handleBody(BodyHandler bodyHandler, RoutingTable table, ClientAccount account, String requestId,
			byte[] body, PendingResponse response) {
		try {
			bodyHandler.handle(table, account, requestId, body, response);
		}
		catch (RequestRejectedException ex) {
			reject(response, ex);
		}
	}

	private void startRequest(RoutingTable table, RoutedRequest request, ResponseSink sink)
			throws RequestRejectedException {
		checkBackends(table, request.service());
		DispatchContext dispatchContext = this.entryContext.dispatchContext(table);
		if (!dispatchContext.openRequests()
			.tryOpen(request.requestClass().name(), dispatchContext.settings().openRequestsPerClass())) {
			throw new RequestRejectedException(ResultCode.ENTRY_FULL, request.requestClass().name());
		}
		dispatchContext.decisions()
			.add(request.requestId(), "accept", null, request.requestClass().name() + " of " + request.account().name()
					+ " for " + request.service().name());
		this.system.systemActorOf(RequestActor.create(request, dispatchContext, sink), "request-" + request.requestId(),
				Props.empty());
	}

	private void checkBackends(RoutingTable table, Service service) throws RequestRejectedException {
		if (this.entryContext.sides().live(service.pool()).isEmpty()) {
			throw new RequestRejectedException(ResultCode.NO_BACKEND, service.name());
		}
		for (String name : service.dependsOn()) {
			Service dependency = table.configuration().services().get(name);
			if (dependency != null && this.entryContext.sides().live(dependency.pool()).isEmpty()) {
				throw new RequestRejectedException(ResultCode.DEPENDENCY_DOWN, name);
			}
		}
	}

	private void reject(PendingResponse response, RequestRejectedException rejection) {
		this.entryContext.counters().count(rejection.code());
		this.entryContext.decisions().add(response.requestId(), "reject", rejection.code(), rejection.getMessage());
		response.sendError(rejection.code(), rejection.detail(), 0);
	}

	private void onCallerDisconnected(String requestId) {
		this.entryContext.openRequests().tell(requestId, new RequestEvent.CallerDisconnected());
	}

	private static String newRequestId() {
		return UUID.randomUUID().toString();
	}

	/**
	 * Handler of the complete body of a request, one for each kind of service.
	 */
	@FunctionalInterface
	private interface BodyHandler {

		void handle(RoutingTable table, ClientAccount account, String requestId, byte[] body, PendingResponse response)
				throws RequestRejectedException;

	}

}
