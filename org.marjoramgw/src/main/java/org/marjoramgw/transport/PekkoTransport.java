package org.marjoramgw.transport;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.io.Inet.SocketOption;
import org.apache.pekko.io.TcpSO;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.stream.scaladsl.Framing.FramingException;
import org.apache.pekko.util.ByteString;
import org.marjoramgw.HostPort;
import org.marjoramgw.ResultCode;
import org.marjoramgw.errors.MalformedFrameException;
import org.marjoramgw.wire.Message;
import org.marjoramgw.wire.MessageCodec;

/**
 * Transport over Pekko TCP streams; a four-byte length precedes each frame.
 *
 * @author The marjoramgw authors
 */
public final class PekkoTransport implements Transport {

	private static final int BACKLOG_CONNECTIONS = 256;

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);

	private static final List<SocketOption> NO_DELAY = List.of(TcpSO.tcpNoDelay(true));

	/** Part of Pekko's message for a connection that ended inside a frame. */
	private static final String TRUNCATED_FRAME_MESSAGE = "truncated final frame";

	private final ActorSystem<?> system;

	private final MessageCodec codec;

	private final int maxFrameBytes;

	private final int sendQueueFrames;

	/**
	 * Creates a transport.
	 * @param system actor system that runs the streams
	 * @param codec message codec
	 * @param maxFrameBytes maximum size of a frame, in bytes
	 * @param sendQueueFrames capacity of the send queue of each connection, in frames
	 */
	public PekkoTransport(ActorSystem<?> system, MessageCodec codec, int maxFrameBytes, int sendQueueFrames) {
		this.system = system;
		this.codec = codec;
		this.maxFrameBytes = maxFrameBytes;
		this.sendQueueFrames = sendQueueFrames;
	}

	@Override
	public CompletionStage<HostPort> listen(HostPort address, ConnectionAcceptor acceptor) {
		return Tcp.get(this.system)
			.bind(address.host(), address.port(), BACKLOG_CONNECTIONS, NO_DELAY, false, Optional.empty())
			.to(Sink.foreach((incoming) -> incoming.flow().join(newFlow(acceptor)).run(this.system)))
			.run(this.system)
			.thenApply((binding) -> new HostPort(address.host(), binding.localAddress().getPort()));
	}

	@Override
	public void connect(HostPort address, ConnectionAcceptor acceptor) {
		Tcp.get(this.system)
			.outgoingConnection(address.toSocketAddress(), Optional.empty(), NO_DELAY, false,
					Optional.of(CONNECT_TIMEOUT), Optional.empty())
			.join(newFlow(acceptor))
			.run(this.system);
	}

	private Flow<ByteString, ByteString, NotUsed> newFlow(ConnectionAcceptor acceptor) {
		Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> sendQueue = Source
			.<ByteString>queue(this.sendQueueFrames)
			.preMaterialize(this.system);
		QueueConnection connection = new QueueConnection(sendQueue.first());
		ConnectionHandler handler = acceptor.accept(connection);
		Sink<ByteString, CompletionStage<Done>> inbound = Flow.of(ByteString.class)
			.map((frame) -> this.codec.decode(frame.toArray()))
			.toMat(Sink.foreach(handler::onMessage), Keep.right());
		Flow<ByteString, ByteString, NotUsed> frames = Flow.fromSinkAndSourceCoupledMat(inbound, sendQueue.second(),
				(inboundDone, unused) -> {
					inboundDone.whenComplete((value, failure) -> onInboundEnd(connection, handler, failure));
					return NotUsed.getInstance();
				});
		return Framing.simpleFramingProtocol(this.maxFrameBytes).reversed().join(frames);
	}

	private void onInboundEnd(QueueConnection connection, ConnectionHandler handler, Throwable failure) {
		connection.close();
		handler.onClosed(connection.overflowed.get() ? ResultCode.PEER_SLOW : closeReason(failure));
	}

	private static ResultCode closeReason(Throwable failure) {
		boolean malformed = failure instanceof MalformedFrameException
				|| (failure instanceof FramingException && !failure.getMessage().contains(TRUNCATED_FRAME_MESSAGE));
		return malformed ? ResultCode.BAD_FRAME : ResultCode.PEER_CLOSED;
	}

	private final class QueueConnection implements Connection {

		private final BoundedSourceQueue<ByteString> queue;

		private final AtomicBoolean closed = new AtomicBoolean();

		private final AtomicBoolean overflowed = new AtomicBoolean();

		QueueConnection(BoundedSourceQueue<ByteString> queue) {
			this.queue = queue;
		}

		@Override
		public void send(Message message) {
			if (this.closed.get()) {
				return;
			}
			byte[] frame = PekkoTransport.this.codec.encode(message);
			QueueOfferResult result = this.queue.offer(ByteString.fromArrayUnsafe(frame));
			if (result == QueueOfferResult.dropped()) {
				this.overflowed.set(true);
				abort();
			}
		}

		@Override
		public void close() {
			endQueue(this.queue::complete);
		}

		private void abort() {
			endQueue(() -> this.queue.fail(new IOException(ResultCode.PEER_SLOW.text())));
		}

		private void endQueue(Runnable end) {
			if (!this.closed.compareAndSet(false, true)) {
				return;
			}
			try {
				end.run();
			}
			catch (IllegalStateException ex) {
				// The stream has ended, maybe at this moment.
			}
		}

	}

}
