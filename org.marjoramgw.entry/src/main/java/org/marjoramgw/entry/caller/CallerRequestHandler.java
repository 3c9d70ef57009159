package org.marjoramgw.entry.caller;

import java.util.UUID;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.http.javadsl.model.HttpEntity;
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
import org.marjoramgw.http.HeaderText;
import org.marjoramgw.http.HeldMemory;
import org.marjoramgw.http.MemoryKind;

/**
 * Handler of callers' HTTP requests: authenticates, reads, classifies and starts them.
 *
 * @author The marjoramgw authors
 */
final class CallerRequestHandler {

	/** The body, and the frame that carries it to a side process. */
	private static final int KEPT_COPIES = 2;

	/** The body, and its text in the JSON parser, whose characters take two bytes. */
	private static final int CHAT_COPIES = 6;

	private final ActorSystem<?> system;

	private final BodyReader bodyReader;

	private final EntryContext entryContext;

	CallerRequestHandler(ActorSystem<?> system, EntryContext entryContext) {
		this.system = system;
		this.bodyReader = new BodyReader(system);
		this.entryContext = entryContext;
	}

	CompletionStage<HttpResponse> handleChat(HttpRequest http) {
		return handle(http, CHAT_COPIES, (table, account, requestId, body, response, held) -> {
			ChatRequest chat = ChatRequest.parse(body);
			held.reduceTo(KEPT_COPIES * body.length);
			RoutedRequest request = CallerRequests.toChatRequest(table, account, requestId, http, body, chat);
			ChatCompletionJson json = new ChatCompletionJson(requestId, chat.model());
			if (chat.streamed()) {
				StreamedChatResponse sink = new StreamedChatResponse(response, json, requestId, this.system,
						(onReclaimed) -> newMemory(account, onReclaimed), () -> onCallerDisconnected(requestId));
				startRequest(table, request, sink, held, sink::closeIfUnstarted);
			}
			else {
				ResponseMemory memory = newMemory(account, () -> onCallerDisconnected(requestId));
				startRequest(table, request, new BufferedChatResponse(response, memory, json), held, memory::close);
			}
		});
	}

	CompletionStage<HttpResponse> handlePlainService(HttpRequest http, String service, String remainingPath) {
		return handle(http, KEPT_COPIES, (table, account, requestId, body, response, held) -> {
			RoutedRequest request = CallerRequests.toPlainRequest(table, account, requestId, http, body, service,
					remainingPath, this.entryContext.claimPartitionCount());
			ResponseMemory memory = newMemory(account, () -> onCallerDisconnected(requestId));
			startRequest(table, request, new PlainServiceResponse(response, memory), held, memory::close);
		});
	}

	CompletionStage<HttpResponse> rejectUnknownPath(HttpRequest http) {
		http.discardEntityBytes(this.system);
		PendingResponse response = new PendingResponse(newRequestId());
		reject(response, new RequestRejectedException(ResultCode.UNKNOWN_PATH, http.getUri().path()));
		return response.response();
	}

	private CompletionStage<HttpResponse> handle(HttpRequest http, int copies, BodyHandler bodyHandler) {
		String requestId = newRequestId();
		PendingResponse response = new PendingResponse(requestId);
		try {
			if (!HeaderText.isIntact(http)) {
				response.closeConnection();
				throw new RequestRejectedException(ResultCode.MALFORMED_HEAD, "");
			}
			RoutingTable table = this.entryContext.routingTable();
			ClientAccount account = table.authenticate(CallerRequests.bearerKey(http));
			int maxBodyBytes = CallerRequests.maxBodyBytes(table.configuration().limits(), http);
			HeldMemory held = this.entryContext.callerMemory().open(MemoryKind.REQUEST, account.name(), () -> {
			});
			readBody(http.entity().withSizeLimit(maxBodyBytes), copies, held).whenComplete((body, failure) -> {
				try {
					if (failure != null) {
						throw BodyFailures.toRejection(failure);
					}
					bodyHandler.handle(table, account, requestId, body, response, held);
				}
				catch (RequestRejectedException ex) {
					held.close();
					reject(response, ex);
				}
			});
		}
		catch (RequestRejectedException ex) {
			http.discardEntityBytes(this.system);
			reject(response, ex);
		}
		return response.response();
	}

	/**
	 * Reads a body, and waits until there is memory for the copies of it that handling it
	 * needs.
	 * @param entity entity of the request
	 * @param copies number of copies
	 * @param held memory held for the request
	 * @return the body
	 */
	private CompletionStage<byte[]> readBody(HttpEntity entity, int copies, HeldMemory held) {
		return this.bodyReader.read(entity, this.entryContext.bodyTimeoutMillis(), held)
			.thenCompose((content) -> held.reserve((long) copies * content.size())
				.thenApply((granted) -> content.toArray()));
	}

	private ResponseMemory newMemory(ClientAccount account, Runnable onReclaimed) {
		return new ResponseMemory(this.entryContext.callerMemory(), account.name(), onReclaimed);
	}

	private void startRequest(RoutingTable table, RoutedRequest request, ResponseSink sink, HeldMemory held,
			Runnable onClosed) throws RequestRejectedException {
		checkBackends(table, request.service());
		DispatchContext dispatchContext = this.entryContext.dispatchContext(table);
		if (!dispatchContext.openRequests()
			.tryOpen(request.requestClass().name(), dispatchContext.settings().openRequestsPerClass())) {
			throw new RequestRejectedException(ResultCode.ENTRY_FULL, request.requestClass().name());
		}
		dispatchContext.decisions()
			.add(request.requestId(), "accept", null, request.requestClass().name() + " of " + request.account().name()
					+ " for " + request.service().name());
		dispatchContext.openRequests().whenClosed(request.requestId(), () -> {
			held.close();
			onClosed.run();
		});
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

		void handle(RoutingTable table, ClientAccount account, String requestId, byte[] body, PendingResponse response,
				HeldMemory held) throws RequestRejectedException;

	}

}
