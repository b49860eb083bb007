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
 * Backend server. A request occupies a slot from the start of its own work until its
 * nested calls have ended. This class is thread-safe.
 */
public final class BackendServer implements AutoCloseable {

	private static final Logger LOGGER = Logger.getLogger(BackendServer.class);

	private static final AtomicLong LAST_RUN_ID = new AtomicLong();

	private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

	private static final String CANCEL_PATH = "/wasabicart/cancel/";

	private final BackendEnvironment environment;

	private final BackendConfiguration configuration;

	private final BackendBehaviour behaviour;

	private final BackendReports reports;

	private final SlotQueue queue;

	private final NestedCalls nestedCalls;

	private final Announcer announcer;

	private final Map<String, Run> runsByContext = new ConcurrentHashMap<>();

	private ServerBinding binding;

	private BackendServer(BackendEnvironment environment, BackendConfiguration configuration) {
		this.environment = environment;
		this.configuration = configuration;
		this.behaviour = new BackendBehaviour(configuration, System::nanoTime);
		this.queue = new SlotQueue(configuration.slots(), configuration.connections(), this::startRun);
		this.reports = new BackendReports(environment.timer(), this.queue, this.behaviour);
		this.nestedCalls = new NestedCalls(environment.client(), configuration.callUrl(), configuration.calls());
		this.announcer = new Announcer(environment, configuration, this::address, this.behaviour::state);
	}

	/**
	 * Starts a backend server and its announcements.
	 * @param environment shared threads, HTTP client and history
	 * @param configuration configuration of the server
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
	 * Replaces the injected faults.
	 * @param faults faults that replace the current ones
	 */
	public void setFaults(BackendFaults faults) {
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
			return CompletableFuture.completedFuture(handleControl(request, path, body));
		}
		if (path.equals("/health") || path.equals("/load")) {
			return CompletableFuture
				.completedFuture(path.equals("/health") ? this.reports.health() : this.reports.load());
		}
		if (path.startsWith(CANCEL_PATH)) {
			Run run = this.runsByContext.get(path.substring(CANCEL_PATH.length()));
			if (run != null) {
				cancel(run);
			}
			return CompletableFuture.completedFuture(Json.response((run != null) ? 200 : 404, Json.object()));
		}
		return accept(RunRequest.of(request), disconnected);
	}

	private HttpResponse handleControl(HttpRequest request, String path, byte[] body) {
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
		Run run = new Run(LAST_RUN_ID.incrementAndGet(), this.configuration.service(), Addresses.format(address()),
				request);
		if (this.behaviour.shouldShedNext()) {
			refuse(run, "shed");
			return run.response();
		}
		if (!request.context().isEmpty()) {
			this.runsByContext.put(request.context(), run);
			run.response().whenComplete((ignored, ex) -> this.runsByContext.remove(request.context(), run));
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
			respond(run, failureResponse(503, result).addHeader(RawHeader.create("Wasabicart-Shed", "not-run")));
		}
	}

	private void startRun(Run run) {
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
		// Ends the run at its deadline, so that a nested call whose response never ends
		// does not occupy the slot forever.
		run.cancelAtEnd(this.environment.timer()
			.schedule(() -> finish(run, "deadline"), run.request().remainingMilliseconds(), TimeUnit.MILLISECONDS));
		if (microseconds == 0) {
			makeNestedCalls(run);
			return;
		}
		run.cancelAtEnd(
				this.environment.timer().schedule(() -> makeNestedCalls(run), microseconds, TimeUnit.MICROSECONDS));
	}

	private void makeNestedCalls(Run run) {
		if (this.behaviour.shouldFailNext()) {
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
		respond(run, result.equals("completed") ? successResponse(run)
				: failureResponse(result.equals("error") ? 500 : 502, result));
	}

	private void cancel(Run run) {
		Run.State before = run.end();
		if (before == Run.State.WAITING) {
			this.queue.removeWaiting(run);
			this.environment.history().write("refused", run, "cancelled");
			respond(run, failureResponse(503, "cancelled").addHeader(RawHeader.create("Wasabicart-Shed", "not-run")));
		}
		else if (before == Run.State.RUNNING) {
			this.environment.history().write("end", run, "cancelled");
			this.queue.release();
			respond(run, failureResponse(503, "cancelled"));
		}
	}

	// The context tells the node which request a response belongs to.
	private static void respond(Run run, HttpResponse response) {
		String context = run.request().context();
		run.response()
			.complete(
					context.isEmpty() ? response : response.addHeader(RawHeader.create("Wasabicart-Context", context)));
	}

	private HttpResponse successResponse(Run run) {
		byte[] body = Answers.create(run.root(), run.path(), this.configuration.answerBytes());
		return HttpResponse.create().withEntity(ContentTypes.TEXT_PLAIN_UTF8, body);
	}

	private static HttpResponse failureResponse(int status, String text) {
		return HttpResponse.create().withStatus(StatusCodes.get(status)).withEntity(text);
	}

	@Override
	public void close() {
		this.announcer.stop();
		this.binding.unbind().toCompletableFuture().join();
	}

}
