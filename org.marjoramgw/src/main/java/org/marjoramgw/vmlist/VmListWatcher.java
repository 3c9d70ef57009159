package org.marjoramgw.vmlist;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.marjoramgw.DaemonThreadFactory;
import org.marjoramgw.errors.VmListUnavailableException;
import org.tinylog.Logger;

/**
 * Polls the VM list on its own thread and keeps the latest list that could be read.
 *
 * @author The marjoramgw authors
 */
public final class VmListWatcher implements AutoCloseable {

	private static final int VMS_PER_INTERVAL = 250;

	private final VmList source;

	private final long pollMillis;

	private final ScheduledExecutorService executor;

	private final List<Consumer<List<Vm>>> listeners = new CopyOnWriteArrayList<>();

	private volatile List<Vm> current = List.of();

	private volatile boolean unavailable;

	/**
	 * Creates a watcher and starts polling immediately.
	 * @param source the VM list
	 * @param pollMillis mean time between two polls of a list of up to 250 VMs, in
	 * milliseconds; the time grows with longer lists
	 */
	public VmListWatcher(VmList source, long pollMillis) {
		this.source = source;
		this.executor = Executors.newSingleThreadScheduledExecutor(new DaemonThreadFactory("vm-list"));
		this.pollMillis = pollMillis;
		this.executor.execute(this::poll);
	}

	/**
	 * Returns the latest list that could be read.
	 * @return the VMs, empty before the first list
	 */
	public List<Vm> current() {
		return this.current;
	}

	/**
	 * Tells whether the latest poll failed.
	 * @return whether the list is unavailable
	 */
	public boolean isUnavailable() {
		return this.unavailable;
	}

	/**
	 * Registers a listener. It is called on the watcher's thread with the current list,
	 * unless that is empty, and after each change.
	 * @param listener the listener
	 */
	public void addListener(Consumer<List<Vm>> listener) {
		this.executor.execute(() -> {
			this.listeners.add(listener);
			if (!this.current.isEmpty()) {
				notifyListener(listener);
			}
		});
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private void poll() {
		readOnce();
		if (!this.executor.isShutdown()) {
			this.executor.schedule(this::poll, nextPollMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private long nextPollMillis() {
		long meanMillis = this.pollMillis * Math.max(1, this.current.size() / VMS_PER_INTERVAL);
		return ThreadLocalRandom.current().nextLong(meanMillis / 2, meanMillis * 3 / 2 + 1);
	}

	private void readOnce() {
		try {
			List<Vm> read = this.source.read();
			this.unavailable = false;
			if (!read.equals(this.current)) {
				this.current = read;
				this.listeners.forEach(this::notifyListener);
			}
		}
		catch (VmListUnavailableException ex) {
			if (!this.unavailable) {
				Logger.warn("VM list is unavailable; the latest list stays in use: {}", ex.getMessage());
			}
			this.unavailable = true;
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "poll of the VM list failed");
		}
	}

	private void notifyListener(Consumer<List<Vm>> listener) {
		try {
			listener.accept(this.current);
		}
		catch (RuntimeException ex) {
			Logger.error(ex, "listener to the VM list failed");
		}
	}

}
