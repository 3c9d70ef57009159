package org.marjoramgw.direct.socket;

import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Iterator;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.tinylog.Logger;

/**
 * Loop of the thread that serves a selector: runs tasks of other threads, passes on the
 * channels that are ready and closes the sockets that linger for too long.
 * {@link #execute(Runnable)} and {@link #stop()} are thread-safe, the rest is used by the
 * thread of the loop.
 *
 * @author The marjoramgw authors
 */
final class SelectorLoop {

	private final Selector selector;

	private final Consumer<SelectionKey> whenReady;

	private final LingeringSockets lingering;

	private final LongSupplier monotonicMillis;

	private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();

	private volatile boolean stopped;

	/**
	 * Creates a loop.
	 * @param selector selector to serve
	 * @param whenReady called with each valid key whose channel is ready
	 * @param lingering sockets to close when they linger for too long
	 * @param monotonicMillis monotonic clock, in milliseconds
	 */
	SelectorLoop(Selector selector, Consumer<SelectionKey> whenReady, LingeringSockets lingering,
			LongSupplier monotonicMillis) {
		this.selector = selector;
		this.whenReady = whenReady;
		this.lingering = lingering;
		this.monotonicMillis = monotonicMillis;
	}

	/**
	 * Runs until it is stopped or the selector fails.
	 */
	void run() {
		try {
			while (!this.stopped) {
				this.selector.select(this.lingering.checkMillis());
				runTasks();
				handleSelected();
				runGuarded(() -> this.lingering.closeOverdue(this.monotonicMillis.getAsLong()));
			}
		}
		catch (IOException ex) {
			Logger.error(ex, "selector of the callers' sockets failed");
		}
	}

	/**
	 * Runs a task in the thread of the loop.
	 * @param task the task
	 */
	void execute(Runnable task) {
		this.tasks.add(task);
		this.selector.wakeup();
	}

	/**
	 * Ends the loop after its present round.
	 */
	void stop() {
		this.stopped = true;
		this.selector.wakeup();
	}

	/**
	 * Closes all registered channels and the selector.
	 */
	void closeAll() {
		for (SelectionKey key : this.selector.keys()) {
			SocketAcceptor.closeQuietly(key.channel());
		}
		SocketAcceptor.closeQuietly(this.selector);
	}

	/**
	 * Runs an action and isolates its failure from the other sockets, which the same
	 * thread serves.
	 * @param action the action
	 */
	static void runGuarded(Runnable action) {
		try {
			action.run();
		}
		catch (CancelledKeyException ex) {
			Logger.debug("socket was closed during an action on it");
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "action on a caller's socket failed");
		}
	}

	private void runTasks() {
		Runnable task = this.tasks.poll();
		while (task != null) {
			runGuarded(task);
			task = this.tasks.poll();
		}
	}

	private void handleSelected() {
		Iterator<SelectionKey> selected = this.selector.selectedKeys().iterator();
		while (selected.hasNext()) {
			SelectionKey key = selected.next();
			selected.remove();
			runGuarded(() -> onSelected(key));
		}
	}

	private void onSelected(SelectionKey key) {
		if (key.isValid()) {
			this.whenReady.accept(key);
		}
	}

}
