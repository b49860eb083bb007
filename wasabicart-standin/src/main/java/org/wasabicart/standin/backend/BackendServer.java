package org.wasabicart.standin.backend;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.SystemMaterializer;
import org.jboss.logging.Logger;

import org.wasabicart.standin.http.Addresses;
import org.wasabicart.standin.http.Answers;
import org.wasabicart.standin.http.Json;
import org.wasabicart.standin.http.StandinHttpServer;

/**
 * One backend server. A slot is taken from the start of a request's own work until its
 * nested calls have ended. Safe for use by several threads.
 */
public final class BackendServer implements AutoCloseable {

	private static final Logger LOGGER = Logger.getLogger(BackendServer.class);

	private static final AtomicLong RUNS = new AtomicLong();

	private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

	private static final String CANCEL_PATH = "/wasabicart/cancel/";

	private final BackendEnvironment environment;

	private final BackendConfiguration configuration;

	private final BackendBehaviour behaviour;

	private final BackendReports reports;

	private final SlotQueue queue;

	private final NestedCalls nestedCalls;

	private final Announcer announcer;

	private final Map<String, Run> byContext = new ConcurrentHashMap<>();

	private ServerBinding binding;

	private BackendServer(BackendEnvironment environment, BackendConfiguration configuration) {
		this.environment = environment;
		this.configuration = configuration;
		this.behaviour = new BackendBehaviour(configuration, System::nanoTime);
		this.queue = new SlotQueue(configuration.slots(), configuration.connections(), this::begin);
		this.reports = new BackendReports(environment.timer(), this.queue, this.behaviour);
		this.nestedCalls = new NestedCalls(environment.client(), configuration.callUrl(), configuration.calls());
		this.announcer = new Announcer(environment, configuration, this::address, this.behaviour::state);
	}

	/**
	 * Starts a backend server and its announcements.
	 * @param environment threads and history
	 * @param configuration configuration
	 * @return the server, ready for requests
	 */
	public static BackendServer start(BackendEnvironment environment, BackendConfiguration configuration) {
		BackendServer server = new BackendServer(environment, configuration);
		server.binding = StandinHttpServer.bind(environment.system(), configuration.address(), server::handle)
			.toCompletableFuture()
			.join();
		server.announcer.start();
		return server;
	}

	/**
	 * Returns the address that the server listens on.
	 * @return the address with its actual port
	 */
	public InetSocketAddress address() {
		return this.binding.localAddress();
	}

	/**
	 * Sets the faults from now on.
	 * @param faults faults
	 */
	public void faults(BackendFaults faults) {
		this.behaviour.faults(faults);
	}

	/**
	 * Announces draining and sheds new requests; running and waiting ones complete.
	 */
	public void drain() {
		this.behaviour.drain();
		this.announcer.announce();
	}

	/**
	 * Returns whether no request is running or waiting.
	 * @return whether the server is idle
	 */
	public boolean idle() {
		return this.queue.running() == 0 && this.queue.waiting() == 0;
	}

	private CompletionStage<HttpResponse> handle(HttpRequest request, CompletionStage<Void> disconnected) {
		return request.entity()
			.toStrict(READ_TIMEOUT_MILLISECONDS, SystemMaterializer.get(this.environment.system()).materializer())
			.thenCompose((entity) -> dispatch(request, entity.getData().toArray(), disconnected));
	}

	private CompletionStage<HttpResponse> dispatch(HttpRequest request, byte[] body,
			CompletionStage<Void> disconnected) {
		String path = request.getUri().path();
		if (path.equals("/standin/faults") || path.equals("/standin/drain") || path.equals("/standin/restart")) {
			return CompletableFuture.completedFuture(control(request, path, body));
		}
		if (path.equals("/health") || path.equals("/load")) {
			return CompletableFuture
				.completedFuture(path.equals("/health") ? this.reports.health() : this.reports.load());
		}
		if (path.startsWith(CANCEL_PATH)) {
			Run run = this.byContext.get(path.substring(CANCEL_PATH.length()));
			if (run != null) {
				cancel(run);
			}
			return CompletableFuture.completedFuture(Json.response((run != null) ? 200 : 404, Json.object()));
		}
		return accept(RunRequest.of(request), disconnected);
	}

	private HttpResponse control(HttpRequest request, String path, byte[] body) {
		if (path.equals("/standin/drain")) {
			drain();
		}
		else if (path.equals("/standin/restart")) {
			this.behaviour.restart(Json.parse(body));
			this.announcer.announce();
		}
		else if (request.method() != HttpMethods.GET) {
			this.behaviour.faults(this.behaviour.faults().with(Json.parse(body)));
		}
		return Json.response(200, this.behaviour.faults().toJson());
	}

	private CompletionStage<HttpResponse> accept(RunRequest request, CompletionStage<Void> disconnected) {
		Run run = new Run(RUNS.incrementAndGet(), this.configuration.service(), Addresses.format(address()), request);
		if (this.behaviour.shedsNext()) {
			refuse(run, "shed");
			return run.response();
		}
		if (!request.context().isEmpty()) {
			this.byContext.put(request.context(), run);
			run.response().whenComplete((ignored, ex) -> this.byContext.remove(request.context(), run));
		}
		disconnected.thenRun(() -> cancel(run));
		if (!this.queue.offer(run)) {
			refuse(run, "shed");
		}
		return run.response();
	}

	private void refuse(Run run, String result) {
		if (run.end() == Run.State.WAITING) {
			this.environment.history().write("refused", run, result);
			run.response().complete(failure(503, result).addHeader(RawHeader.create("Wasabicart-Shed", "not-run")));
		}
	}

	private void begin(Run run) {
		if (run.request().expired()) {
			refuse(run, "expired");
			this.queue.release();
			return;
		}
		long microseconds = this.behaviour.nextServiceMicroseconds();
		boolean started = run.start(microseconds, () -> this.environment.history().write("start", run, ""));
		if (!started) {
			this.queue.release();
			return;
		}
		// A nested call whose response never ends must not hold the slot for ever.
		run.add(this.environment.timer()
			.schedule(() -> finish(run, "deadline"), run.request().remainingMilliseconds(), TimeUnit.MILLISECONDS));
		if (microseconds == 0) {
			callOthers(run);
			return;
		}
		run.add(this.environment.timer().schedule(() -> callOthers(run), microseconds, TimeUnit.MICROSECONDS));
	}

	private void callOthers(Run run) {
		if (this.behaviour.failsNext()) {
			finish(run, "error");
			return;
		}
		this.nestedCalls.call(run).whenComplete((result, ex) -> finish(run, (ex != null) ? "nested-failed" : result));
	}

	private void finish(Run run, String result) {
		if (run.end() != Run.State.RUNNING) {
			return;
		}
		this.environment.history().write("end", run, result);
		this.queue.release();
		if (this.behaviour.faults().silent()) {
			return;
		}
		run.response()
			.complete(result.equals("completed") ? answer(run) : failure(result.equals("error") ? 500 : 502, result));
	}

	private void cancel(Run run) {
		Run.State before = run.end();
		if (before == Run.State.WAITING) {
			this.queue.removeWaiting(run);
			this.environment.history().write("refused", run, "cancelled");
			run.response()
				.complete(failure(503, "cancelled").addHeader(RawHeader.create("Wasabicart-Shed", "not-run")));
		}
		else if (before == Run.State.RUNNING) {
			this.environment.history().write("end", run, "cancelled");
			this.queue.release();
			run.response().complete(failure(503, "cancelled"));
		}
	}

	private HttpResponse answer(Run run) {
		byte[] body = Answers.create(run.root(), run.path(), this.configuration.answerBytes());
		return HttpResponse.create().withEntity(ContentTypes.TEXT_PLAIN_UTF8, body);
	}

	private static HttpResponse failure(int status, String text) {
		return HttpResponse.create().withStatus(StatusCodes.get(status)).withEntity(text);
	}

	@Override
	public void close() {
		this.announcer.stop();
		this.binding.unbind().toCompletableFuture().join();
	}

}
