package org.marjoramgw.vmlist;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.marjoramgw.errors.VmListUnavailableException;
import org.marjoramgw.http.FixedResponseServer;
import org.marjoramgw.http.HttpFixture;
import org.marjoramgw.standin.vmlist.VmListControl;
import org.marjoramgw.standin.vmlist.VmListSettings;
import org.marjoramgw.standin.vmlist.VmListStandin;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link HttpVmList} and {@link VmListWatcher} against the stand-in of the VM list.
 *
 * @author The marjoramgw authors
 */
public class HttpVmListTests {

	private static final Vm VM = new Vm("side-1", Vm.SIDE, "dal-a", "p", "127.0.0.1:1", "127.0.0.1:2", Vm.LIVE);

	private static final Vm LEAVING = new Vm("side-1", Vm.SIDE, "dal-a", "p", "127.0.0.1:1", "127.0.0.1:2", Vm.LEAVING);

	private static final long POLL_MILLIS = 20;

	private HttpFixture http;

	private VmListStandin standin;

	@BeforeClass
	public void startFixture() {
		this.http = new HttpFixture();
	}

	@AfterClass
	public void stopFixture() {
		this.http.close();
	}

	@BeforeMethod
	public void startStandin() {
		this.standin = VmListStandin.start(this.http.standins(), new VmListSettings(HttpFixture.ANY_PORT, 0));
		this.standin.putVm(VM);
	}

	@AfterMethod
	public void stopStandin() {
		this.standin.close();
	}

	private HttpVmList client(String url) {
		return new HttpVmList(this.http.newClient(), url);
	}

	private HttpVmList client() {
		return client("http://" + this.standin.address());
	}

	@Test
	public void readsTheList() throws VmListUnavailableException {
		Assert.assertEquals(client().read(), List.of(VM));
	}

	@Test
	public void reportsThatTheListIsUnavailable() {
		this.standin.control(new VmListControl(true, null));
		Assert.assertThrows(VmListUnavailableException.class, () -> client().read());
		this.standin.close();
		Assert.assertThrows(VmListUnavailableException.class, () -> client().read());
	}

	@DataProvider
	public Object[][] unexpectedResponses() {
		return new Object[][] { { 200, "" }, { 200, "{}" }, { 200, "{\"vms\":null}" },
				{ 200, "{\"vms\":[{\"id\":1}]}" }, { 200, "{\"vms\":7}" }, { 500, "" } };
	}

	@Test(dataProvider = "unexpectedResponses")
	public void rejectsUnexpectedResponses(int status, String body) throws IOException {
		try (FixedResponseServer server = new FixedResponseServer(status, body)) {
			Assert.assertThrows(VmListUnavailableException.class, () -> client(server.url()).read());
		}
	}

	@Test
	public void reusesTheListIfItIsNotModified() throws IOException, VmListUnavailableException {
		try (FixedResponseServer server = new FixedResponseServer(200, "{\"vms\":[]}", "\"tag\"")) {
			HttpVmList list = client(server.url());
			Assert.assertSame(list.read(), list.read());
			Assert.assertEquals(server.notModifiedCount(), 1);
		}
	}

	@Test
	public void watcherReportsChangesAndKeepsTheLatestList() throws InterruptedException {
		BlockingQueue<List<Vm>> seen = new LinkedBlockingQueue<>();
		try (VmListWatcher watcher = new VmListWatcher(client(), POLL_MILLIS)) {
			watcher.addListener(seen::add);
			Assert.assertEquals(seen.poll(5, TimeUnit.SECONDS), List.of(VM));
			this.standin.control(new VmListControl(true, null));
			while (!watcher.isUnavailable()) {
				Thread.sleep(POLL_MILLIS);
			}
			Assert.assertEquals(watcher.current(), List.of(VM));
			this.standin.putVm(LEAVING);
			this.standin.control(new VmListControl(false, null));
			Assert.assertEquals(seen.poll(5, TimeUnit.SECONDS), List.of(LEAVING));
		}
	}

}
