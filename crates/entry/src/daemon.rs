//! Start and planned stop of the process.

use crate::args;
use crate::caller::{self, Shared};
use crate::control::{Control, Figures, Message, Outlets, Sender};
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

/// Exit code for a failure at run time.
const EXIT_FAILED: u8 = 1;
/// Exit code for bad usage or bad settings.
const EXIT_USAGE: u8 = 2;
/// Time between two looks at the work that is left during a planned stop.
const STOP_POLL: Duration = Duration::from_millis(20);
/// Column at which help texts are wrapped.
const HELP_WIDTH: usize = 100;

/// Runs the process with the arguments of its command line.
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
    // The guard is dropped last, so that the final records are written.
    let (log, _guard) = log::root(&settings.log, settings.name.as_str());
    match run(&settings, &log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            crit!(log, "daemon: stopped"; "error" => %error);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(settings: &Settings, log: &Logger) -> Result<(), error::Run> {
    let daemon = Daemon::start(settings, log)?;
    daemon.runtime.block_on(async {
        tokio::select! {
            result = wait_for_signal() => result,
            () = daemon.control.closed() => Err(error::Run::Control),
        }
    })?;
    daemon.stop()
}

async fn wait_for_signal() -> Result<(), error::Run> {
    // The handlers stay installed, so that a second signal does not end the process.
    let setup = |error| error::Run::Setup("signal handler", error);
    let mut terminate = signal(SignalKind::terminate()).map_err(setup)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(setup)?;
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
    /// Starts all threads and servers.
    pub fn start(settings: &Settings, log: &Logger) -> Result<Self, error::Run> {
        let instance = new_instance(&settings.name);
        let log = log.new(o!("id" => instance.to_string()));
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()
            .map_err(|error| error::Run::Setup("traffic threads", error))?;
        let tracer = Tracer::new(&settings.trace, &instance)?;
        meter::handle();
        let (control, inbox) = mpsc::unbounded_channel();
        let snapshots = Holder::default();
        let limits = peer::Limits {
            connect: duration(settings.limits.connect_timeout),
            call: duration(settings.limits.peer_timeout),
            list_lag: settings.limits.list_lag,
        };
        let outlets = Outlets {
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
        let every = duration(settings.poll_interval);
        let poll = platform::poll(outlets.platform.clone(), control.clone(), every, log.clone());
        let options = Options::new(instance.clone(), settings.data_centre.clone(), rand::random())
            .with_balancer_lag(settings.stop.balancer_lag)
            .with_reports(settings.report_interval);
        let next_caller = Arc::new(AtomicU64::new(1));
        let server = peer_server::Server {
            instance: instance.clone(),
            control: control.clone(),
            next_caller: next_caller.clone(),
            tracer: tracer.clone(),
            log: log.clone(),
        };
        let listener = listen(settings.peer_address)?;
        let peer_address = listener
            .local_addr()
            .map_err(|error| error::Run::Listen(settings.peer_address, error.to_string()))?;
        let seeds = settings.peer_seeds.clone();
        let thread =
            ControlThread { options, limits, seeds, every, outlets, inbox, listener, server };
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
            bad_jobs: log::Limiter::default(),
        });
        let servers = start_servers(settings, &runtime, &shared, &log)?;
        runtime.spawn(poll);
        runtime.spawn(upkeep());
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

    /// Returns the id of this run.
    pub fn instance(&self) -> &id::Instance {
        &self.shared.instance
    }

    /// Returns where the server for callers listens.
    pub fn caller_address(&self) -> SocketAddr {
        self.servers[0].local_addr()
    }

    /// Returns where the server for operators listens, if there is one of its own.
    pub fn admin_address(&self) -> Option<SocketAddr> {
        self.servers.get(1).map(HttpServer::local_addr)
    }

    /// Returns where the server for other instances listens.
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Makes a planned stop: no request in progress is cut off.
    pub fn stop(self) -> Result<(), error::Run> {
        let Self { runtime, control_thread, control, shared, servers, balancer_lag, log, .. } =
            self;
        // The engine goes on to accept jobs for the lag of the balancer. It is told first, so that
        // the lag is over for every job that arrives that long after the first "not ready".
        control.send(Message::Event(Event::Drain)).map_err(|_| error::Run::Control)?;
        shared.stopping.store(true, Ordering::Release);
        info!(log, "daemon: stopping"; "balancer_lag" => %balancer_lag);
        runtime.block_on(async {
            // Results that nobody fetches end with their retention.
            while !figures(&control).await?.is_drained {
                tokio::time::sleep(STOP_POLL).await;
            }
            for server in servers {
                server.close().await.map_err(|message| error::Run::Output("server", message))?;
            }
            control.send(Message::Exit).map_err(|_| error::Run::Control)
        })?;
        control_thread.join().map_err(|_| error::Run::Control)?;
        if let Err(error) = shared.tracer.shut_down() {
            warn!(log, "trace: not all spans were written"; "error" => %error);
        }
        info!(log, "daemon: stopped");
        Ok(())
    }
}

async fn upkeep() {
    let mut timer = tokio::time::interval(meter::UPKEEP_INTERVAL);
    loop {
        timer.tick().await;
        meter::handle().run_upkeep();
    }
}

async fn figures(control: &Sender) -> Result<Figures, error::Run> {
    let (reply, figures) = oneshot::channel();
    control.send(Message::Inspect(reply)).map_err(|_| error::Run::Control)?;
    figures.await.map_err(|_| error::Run::Control)
}

/// All that the control thread takes over.
struct ControlThread {
    options: Options,
    limits: peer::Limits,
    seeds: Vec<SocketAddr>,
    every: Duration,
    outlets: Outlets,
    inbox: mpsc::UnboundedReceiver<Message>,
    listener: std::net::TcpListener,
    server: peer_server::Server,
}

impl ControlThread {
    fn spawn(self) -> Result<JoinHandle<()>, error::Run> {
        let setup = |error| error::Run::Setup("control thread", error);
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(setup)?;
        let listener = {
            let _guard = runtime.enter();
            tokio::net::TcpListener::from_std(self.listener).map_err(setup)?
        };
        let Self { options, limits, seeds, every, outlets, inbox, server, .. } = self;
        std::thread::Builder::new()
            .name("control".into())
            .spawn(move || {
                let local = LocalSet::new();
                let tracer = server.tracer.clone();
                local.spawn_local(peer_server::serve(listener, server));
                let links = Links::new(
                    options.instance.clone(),
                    limits,
                    outlets.control.clone(),
                    tracer,
                    outlets.log.clone(),
                );
                let control = Control::new(options, links, outlets);
                runtime.block_on(local.run_until(control.run(inbox, every, &seeds)));
            })
            .map_err(setup)
    }
}

fn listen(address: SocketAddr) -> Result<std::net::TcpListener, error::Run> {
    let fail = |error: std::io::Error| error::Run::Listen(address, error.to_string());
    let listener = std::net::TcpListener::bind(address).map_err(fail)?;
    listener.set_nonblocking(true).map_err(fail)?;
    Ok(listener)
}

fn start_servers(
    settings: &Settings,
    runtime: &Runtime,
    shared: &Arc<Shared>,
    log: &Logger,
) -> Result<Vec<HttpServer<Arc<Shared>>>, error::Run> {
    let _guard = runtime.enter();
    let mut servers = Vec::new();
    let mut start = |address: SocketAddr, api| {
        let fail = |message: String| error::Run::Listen(address, message);
        let config = ConfigDropshot {
            bind_address: address,
            default_request_body_max_bytes: shared.body_limit,
            // A caller that goes away drops only its own wait: the job stays with the engine.
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            ..ConfigDropshot::default()
        };
        let server = ServerBuilder::new(api, shared.clone(), log::quiet(log))
            .config(config)
            .start()
            .map_err(|error| fail(error.to_string()))?;
        servers.push(server);
        Ok(())
    };
    let describe = |error: dropshot::ApiDescriptionRegisterError| {
        error::Run::Output("server", error.to_string())
    };
    start(settings.caller_address, caller::api().map_err(describe)?)?;
    if let Some(address) = settings.admin_address {
        start(address, caller::admin_api().map_err(describe)?)?;
    }
    Ok(servers)
}

/// Makes the id of a run from the name of the instance and a random suffix.
fn new_instance(name: &id::Instance) -> id::Instance {
    let suffix = rand::random::<u32>();
    // The settings bound the name so that the suffix fits.
    format!("{name}.{suffix:08x}").parse().expect("a name with a hexadecimal suffix is an id")
}

const fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.get())
}
