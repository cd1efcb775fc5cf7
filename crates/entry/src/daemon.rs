//! Start and planned stop of the process.

use crate::args;
use crate::caller::{self, Shared};
use crate::control::{Control, Dependencies, Message, Sender, Stats};
use crate::error;
use crate::log;
use crate::meter;
use crate::peer::{self, Links};
use crate::peer_server;
use crate::platform;
use crate::settings::Settings;
use crate::snapshot::Holder;
use crate::target;
use crate::trace::Tracer;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use slog::{Logger, crit, info, o, warn};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use verbenapass::engine::{Event, Options};
use verbenapass::id;
use verbenapass::unit::Millis;

/// Exit code for a failure after the settings were read.
const EXIT_FAILED: u8 = 1;
/// Exit code for invalid arguments or an invalid settings file.
const EXIT_USAGE: u8 = 2;
/// Time between two checks of whether the instance has drained during a planned stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Column at which help and usage texts wrap.
const HELP_WIDTH: usize = 100;

/// Runs the daemon with the arguments of the process and returns its exit code: 0 after a planned
/// stop or a valid check, 1 after a failure, 2 for invalid arguments or settings.
pub fn main() -> ExitCode {
    let args = match args::args().run_inner(bpaf::Args::current_args()) {
        Ok(args) => args,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { EXIT_USAGE });
        }
    };
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("verbenapass-entry: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if args.check {
        println!("{}: valid", args.settings.display());
        return ExitCode::SUCCESS;
    }
    // Dropping the guard flushes the log queue, so it must outlive all other users of the log.
    let (log, _guard) = log::root(&settings.log, settings.name.as_str());
    match run(&settings, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            crit!(log, "daemon: stopped"; "error" => %error);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(settings: &Settings, log: &Logger) -> Result<(), error::Daemon> {
    let daemon = Daemon::start(settings, log)?;
    daemon.runtime.block_on(async {
        tokio::select! {
            result = wait_for_signal() => result,
            () = daemon.control.closed() => Err(error::Daemon::Control),
        }
    })?;
    daemon.stop()
}

async fn wait_for_signal() -> Result<(), error::Daemon> {
    // The handlers stay installed after the first signal, so a second one does not kill the process
    // while it drains.
    let setup_error = |error| error::Daemon::Setup("signal handler", error);
    let mut terminate = signal(SignalKind::terminate()).map_err(setup_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(setup_error)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// A running entry instance.
pub struct Daemon {
    runtime: Runtime,
    control_thread: JoinHandle<()>,
    control: Sender,
    shared: Arc<Shared>,
    servers: Vec<HttpServer<Arc<Shared>>>,
    peer_address: SocketAddr,
    balancer_lag: Millis,
    log: Logger,
}

impl Daemon {
    /// Starts all threads and servers. Fails if an address is in use or a trace output cannot be
    /// opened. Does not wait for the settings of the fleet; `/readyz` fails until they are known.
    pub fn start(settings: &Settings, log: &Logger) -> Result<Self, error::Daemon> {
        let instance = new_instance_id(&settings.name);
        let log = log.new(o!("id" => instance.to_string()));
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(|error| error::Daemon::Setup("traffic threads", error))?;
        let tracer = Tracer::new(&settings.trace, &instance)?;
        meter::handle();
        let (control, inbox) = mpsc::unbounded_channel();
        let snapshots = Holder::default();
        let limits = peer::Limits {
            connect: duration(settings.limits.connect_timeout),
            call: duration(settings.limits.peer_timeout),
            list_lag: settings.limits.list_lag,
        };
        let dependencies = Dependencies {
            control: control.clone(),
            snapshots: snapshots.clone(),
            targets: Arc::new(target::Client::new(
                instance.clone(),
                limits.connect,
                control.clone(),
                tracer.clone(),
            )),
            platform: Arc::new(platform::Client::new(
                settings.platform_address,
                duration(settings.limits.platform_timeout),
                tracer.clone(),
            )),
            traffic: runtime.handle().clone(),
            platform_timeout: settings.limits.platform_timeout,
            claim_expiry_interval: duration(settings.claim_expiry_interval),
            log: log.clone(),
        };
        let poll_interval = duration(settings.poll_interval);
        let poll = platform::poll(
            dependencies.platform.clone(),
            control.clone(),
            poll_interval,
            log.clone(),
        );
        let options = Options::new(instance.clone(), settings.data_centre.clone(), rand::random())
            .with_balancer_lag(settings.stop.balancer_lag)
            .with_reports(settings.report_interval);
        let next_caller = Arc::new(AtomicU64::new(1));
        let peer_server = peer_server::Server {
            instance: instance.clone(),
            control: control.clone(),
            next_caller: next_caller.clone(),
            tracer: tracer.clone(),
            log: log.clone(),
        };
        let listener = listen(settings.peer_address)?;
        let peer_address = listener
            .local_addr()
            .map_err(|error| error::Daemon::Listen(settings.peer_address, error.to_string()))?;
        let seeds = settings.peer_seeds.clone();
        let thread = ControlThread {
            options,
            limits,
            seeds,
            poll_interval,
            dependencies,
            inbox,
            listener,
            peer_server,
        };
        let control_thread = thread.spawn()?;
        let shared = Arc::new(Shared {
            instance,
            data_centre: settings.data_centre.clone(),
            body_limit: settings.limits.body.get() as usize,
            snapshots,
            control: control.clone(),
            stopping: AtomicBool::new(false),
            next_caller,
            tracer,
            log: log.clone(),
            failure_log_limiter: log::Limiter::default(),
        });
        let servers = start_servers(settings, &runtime, &shared, &log)?;
        runtime.spawn(poll);
        runtime.spawn(run_metrics_upkeep());
        info!(log, "daemon: started"; "caller_address" => servers[0].local_addr(),
            "peer_address" => peer_address);
        Ok(Self {
            runtime,
            control_thread,
            control,
            shared,
            servers,
            peer_address,
            balancer_lag: settings.stop.balancer_lag,
            log,
        })
    }

    /// Returns the instance id: the name in the settings and a random suffix for this process.
    pub fn instance(&self) -> &id::Instance {
        &self.shared.instance
    }

    /// Returns the address on which callers connect, with the actual port if port 0 was configured.
    pub fn caller_address(&self) -> SocketAddr {
        self.servers[0].local_addr()
    }

    /// Returns the address of the separate server for operators; `None` if only the callers' server
    /// serves them.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.servers.get(1).map(HttpServer::local_addr)
    }

    /// Returns the address on which other entry instances connect.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Drains the instance and stops it. Blocks until every request in progress is answered, every
    /// final outcome is fetched or expired, and the outcomes of claimed jobs are stored as far as
    /// the platform permits.
    pub fn stop(self) -> Result<(), error::Daemon> {
        let Self { runtime, control_thread, control, shared, servers, balancer_lag, log, .. } =
            self;
        // The engine accepts jobs until the balancer lag is over. The lag begins before `/readyz`
        // fails, so it has passed for every job that arrives later than the lag after the first
        // failed check.
        control.send(Message::Event(Event::Drain)).map_err(|_| error::Daemon::Control)?;
        shared.stopping.store(true, Ordering::Release);
        info!(log, "daemon: stopping"; "balancer_lag" => %balancer_lag);
        runtime.block_on(async {
            // Ends even if nobody fetches the results, because their retention is limited.
            while !stats(&control).await?.is_drained {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
            for server in servers {
                server.close().await.map_err(|message| error::Daemon::Output("server", message))?;
            }
            control.send(Message::Exit).map_err(|_| error::Daemon::Control)
        })?;
        control_thread.join().map_err(|_| error::Daemon::Control)?;
        if let Err(error) = shared.tracer.shut_down() {
            warn!(log, "trace: not all spans were written"; "error" => %error);
        }
        info!(log, "daemon: stopped");
        Ok(())
    }
}

async fn run_metrics_upkeep() {
    let mut timer = tokio::time::interval(meter::UPKEEP_INTERVAL);
    loop {
        timer.tick().await;
        meter::handle().run_upkeep();
    }
}

async fn stats(control: &Sender) -> Result<Stats, error::Daemon> {
    let (reply, stats) = oneshot::channel();
    control.send(Message::ReadStats(reply)).map_err(|_| error::Daemon::Control)?;
    stats.await.map_err(|_| error::Daemon::Control)
}

/// Everything that moves to the control thread.
struct ControlThread {
    options: Options,
    limits: peer::Limits,
    seeds: Vec<SocketAddr>,
    poll_interval: Duration,
    dependencies: Dependencies,
    inbox: mpsc::UnboundedReceiver<Message>,
    listener: std::net::TcpListener,
    peer_server: peer_server::Server,
}

impl ControlThread {
    fn spawn(self) -> Result<JoinHandle<()>, error::Daemon> {
        let setup_error = |error| error::Daemon::Setup("control thread", error);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(setup_error)?;
        let listener = {
            let _guard = runtime.enter();
            tokio::net::TcpListener::from_std(self.listener).map_err(setup_error)?
        };
        let Self {
            options, limits, seeds, poll_interval, dependencies, inbox, peer_server, ..
        } = self;
        std::thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                let local = LocalSet::new();
                let tracer = peer_server.tracer.clone();
                local.spawn_local(peer_server::serve(listener, peer_server));
                let links = Links::new(
                    options.instance.clone(),
                    limits,
                    dependencies.control.clone(),
                    tracer,
                    dependencies.log.clone(),
                );
                let control = Control::new(options, links, dependencies);
                runtime.block_on(local.run_until(control.run(inbox, poll_interval, &seeds)));
            })
            .map_err(setup_error)
    }
}

fn listen(address: SocketAddr) -> Result<std::net::TcpListener, error::Daemon> {
    let listen_error = |error: std::io::Error| error::Daemon::Listen(address, error.to_string());
    let listener = std::net::TcpListener::bind(address).map_err(listen_error)?;
    listener.set_nonblocking(true).map_err(listen_error)?;
    Ok(listener)
}

fn start_servers(
    settings: &Settings,
    runtime: &Runtime,
    shared: &Arc<Shared>,
    log: &Logger,
) -> Result<Vec<HttpServer<Arc<Shared>>>, error::Daemon> {
    let _guard = runtime.enter();
    let mut servers = Vec::new();
    let mut start = |address: SocketAddr, api| {
        let listen_error = |message: String| error::Daemon::Listen(address, message);
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: shared.body_limit,
            // When a caller disconnects, only its handler is cancelled; the engine keeps the job.
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api, shared.clone(), log::quiet(log))
            .config(config)
            .start()
            .map_err(|error| listen_error(error.to_string()))?;
        servers.push(server);
        Ok(())
    };
    let server_error = |error: dropshot::ApiDescriptionRegisterError| {
        error::Daemon::Output("server", error.to_string())
    };
    start(settings.caller_address, caller::api().map_err(server_error)?)?;
    if let Some(address) = settings.admin_address {
        start(address, caller::admin_api().map_err(server_error)?)?;
    }
    Ok(servers)
}

/// Returns a new instance id: the name and a random suffix, which tells restarts of an instance
/// apart.
fn new_instance_id(name: &id::Instance) -> id::Instance {
    let suffix = rand::random::<u32>();
    // The settings limit the length of the name to leave room for the suffix.
    format!("{name}.{suffix:08x}").parse().expect("a name with a hexadecimal suffix is an id")
}

const fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.get())
}
