package org.marjoramgw.http;

import org.apache.pekko.stream.FlowShape;
import org.apache.pekko.stream.Inlet;
import org.apache.pekko.stream.Outlet;
import org.apache.pekko.stream.stage.GraphStage;
import org.apache.pekko.util.ByteString;

/**
 * Stream stage from bytes to bytes.
 *
 * @author The marjoramgw authors
 */
public abstract class ByteStage extends GraphStage<FlowShape<ByteString, ByteString>> {

	private final Inlet<ByteString> inlet;

	private final Outlet<ByteString> outlet;

	private final FlowShape<ByteString, ByteString> flowShape;

	/**
	 * Creates a stage.
	 * @param name name of the stage in messages of the library
	 */
	protected ByteStage(String name) {
		this.inlet = Inlet.create(name + ".in");
		this.outlet = Outlet.create(name + ".out");
		this.flowShape = FlowShape.of(this.inlet, this.outlet);
	}

	@Override
	public final FlowShape<ByteString, ByteString> shape() {
		return this.flowShape;
	}

	protected final Inlet<ByteString> inlet() {
		return this.inlet;
	}

	protected final Outlet<ByteString> outlet() {
		return this.outlet;
	}

}
