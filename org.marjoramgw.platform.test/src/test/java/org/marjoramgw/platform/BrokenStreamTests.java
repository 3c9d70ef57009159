package org.marjoramgw.platform;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a stream looks complete to its caller only if all of it arrived.
 *
 * @author The marjoramgw authors
 */
public class BrokenStreamTests extends EventStreamFixture {

	/**
	 * Each row: status line, further header lines and body of an answer that doesn't
	 * continue a stream.
	 * @return the rows
	 */
	@DataProvider
	public Object[][] otherAnswers() {
		String json = "Content-Type: application/json\r\n";
		String body = "{\"error\":\"out of memory\"}";
		String sized = "Content-Length: " + body.length() + "\r\n";
		return new Object[][] { { "500 Internal Server Error", json + sized, body },
				{ "404 Not Found", json + sized, body }, { "302 Found", json + sized, body },
				{ "503 Service Unavailable", json + sized, body }, { "500 Internal Server Error", json, body },
				{ "200 OK", json + sized, body }, { "200 OK", "Content-Type: text/plain\r\n" + sized, body },
				{ "200 OK", json, body }, { "200 OK", json + "Content-Length: 2\r\n", "\n\n" },
				{ "204 No Content", "", "" }, { "206 Partial Content", STREAM_HEADERS, chunk(events(2)) + "0\r\n\r\n" },
				{ "202 Accepted", json + sized, body } };
	}

	@Test(dataProvider = "otherAnswers")
	public void errorOfTheNextServerNeverEntersAStreamThatHasBegun(String status, String headers, String body)
			throws Exception {
		AtomicInteger requests = new AtomicInteger();
		ScriptedServer.Script script = (request, connection) -> {
			boolean first = requests.getAndIncrement() == 0;
			write(connection, first ? ScriptedServer.head("200 OK", request, STREAM_HEADERS) + chunk(event(1))
					: ScriptedServer.head(status, request, headers) + body);
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			String response = fixture.call("POST /resume/1", KEY, "prompt");
			Assert.assertFalse(response.contains("0\r\n\r\n"), "looks complete: " + response);
			Assert.assertFalse(response.contains("error"), response);
			Assert.assertTrue(response.equals("reset") || eventIds(response).equals(List.of(1)), response);
		}
	}

	@DataProvider
	public Object[][] streamsThatEndInsideAnEvent() {
		String begun = event(1) + "id: 2\ndata: ev";
		String eventStream = "Content-Type: text/event-stream\r\n";
		return new Object[][] { { "/stream/1", eventStream, begun }, { "/resume/1", eventStream, begun },
				{ "/stream/1", STREAM_HEADERS, chunk(begun) + "0\r\n\r\n" },
				{ "/resume/1", STREAM_HEADERS, chunk(begun) + "0\r\n\r\n" },
				{ "/stream/1", eventStream + "Content-Length: " + begun.length() + "\r\n", begun },
				{ "/stream/1", eventStream, "id: 1\r\ndata: a\r\n\r" } };
	}

	@Test(dataProvider = "streamsThatEndInsideAnEvent")
	public void streamThatEndsInsideAnEventDoesNotLookComplete(String route, String headers, String body)
			throws Exception {
		ScriptedServer.Script script = (request, connection) -> {
			write(connection, ScriptedServer.head("200 OK", request, headers) + body);
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(script);
				ScriptedServer second = new ScriptedServer(script);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			String response = fixture.call("POST " + route, KEY, "prompt");
			Assert.assertFalse(response.endsWith("0\r\n\r\n"), response);
		}
	}

	@Test
	public void streamWithoutLengthThatEndsAfterAnEventIsComplete() throws Exception {
		ScriptedServer.Script script = (request, connection) -> {
			write(connection,
					ScriptedServer.head("200 OK", request, "Content-Type: text/event-stream\r\n") + events(1));
			connection.close();
			return false;
		};
		for (String route : new String[] { "/resume/1", "/stream/1" }) {
			try (ScriptedServer server = new ScriptedServer(script);
					ForwardingFixture fixture = new ForwardingFixture(server)) {
				assertComplete(fixture.call("POST " + route, KEY, "prompt"), route);
			}
		}
	}

	@Test
	public void streamThatFailsTwiceDoesNotLookComplete() throws Exception {
		ScriptedServer.Script failing = (request, connection) -> {
			write(connection,
					ScriptedServer.head("200 OK", request, STREAM_HEADERS) + chunk(event(lastEventId(request) + 1)));
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(failing);
				ScriptedServer second = new ScriptedServer(failing);
				ScriptedServer third = new ScriptedServer(failing);
				ForwardingFixture fixture = new ForwardingFixture(first, second, third)) {
			String response = fixture.call("POST /resume/1", KEY, "prompt");
			Assert.assertFalse(response.contains("\r\n0\r\n"), response);
			int runs = first.requests().size() + second.requests().size() + third.requests().size();
			Assert.assertEquals(runs, 2, "the route allows two attempts");
		}
	}

	@Test
	public void streamOfAnotherRouteIsNotResumed() throws Exception {
		ScriptedServer.Script failing = (request, connection) -> {
			write(connection, ScriptedServer.head("200 OK", request, STREAM_HEADERS) + chunk(event(1)));
			connection.close();
			return false;
		};
		try (ScriptedServer first = new ScriptedServer(failing);
				ScriptedServer second = new ScriptedServer(failing);
				ForwardingFixture fixture = new ForwardingFixture(first, second)) {
			String response = fixture.call("POST /stream/1", KEY, "prompt");
			Assert.assertFalse(response.contains("\r\n0\r\n"), response);
			Assert.assertEquals(first.requests().size() + second.requests().size(), 1);
		}
	}

}
