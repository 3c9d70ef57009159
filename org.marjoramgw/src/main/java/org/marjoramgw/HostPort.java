package org.marjoramgw;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/**
 * TCP address: an IP address and a port.
 *
 * @param host textual form of the IP address
 * @param port TCP port, 0 to 65535; binding to port 0 picks any free port
 * @author The marjoramgw authors
 */
public record HostPort(String host, int port) {

	private static final int MAX_PORT = 65_535;

	private static final String OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";

	private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

	/**
	 * Parses {@code host:port}.
	 * @param text the text to parse, for example {@code 127.0.0.1:8080}
	 * @return the address
	 * @throws IllegalArgumentException if the text is not an IP address and a port
	 */
	public static HostPort parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0 || !isIpAddress(text.substring(0, colon))) {
			throw new IllegalArgumentException("not an IP address and a port: " + text);
		}
		int port = Integer.parseInt(text.substring(colon + 1));
		if (port < 0 || port > MAX_PORT) {
			throw new IllegalArgumentException("port out of range: " + text);
		}
		return new HostPort(text.substring(0, colon), port);
	}

	/**
	 * Converts this address to a socket address.
	 * @return the resolved socket address
	 */
	public InetSocketAddress toSocketAddress() {
		return new InetSocketAddress(this.host, this.port);
	}

	private static boolean isIpAddress(String host) {
		if (IPV4.matcher(host).matches()) {
			return true;
		}
		if (host.indexOf(':') < 0) {
			return false;
		}
		try {
			// A name with a colon is never looked up.
			return InetAddress.getByName(host) != null;
		}
		catch (UnknownHostException ex) {
			return false;
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
