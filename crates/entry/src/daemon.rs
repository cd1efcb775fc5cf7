//! Start and planned stop of the process.

use crate::args;
use crate::caller::{self, Shared};
use crate::control::{Control, Figures, Message, Sender};
use crate::error;
use crate::log;
use crate::platform;
use crate::settings::Settings;
use crate::snapshot::Holder;
use crate::target;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use slog::{Logger, crit, info, o};
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
use verbenapass::engine::Options;
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
    daemon.runtime.block_on(wait_for_signal())?;
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
        let (control, inbox) = mpsc::unbounded_channel();
        let snapshots = Holder::default();
        let connect_timeout = duration(settings.limits.connect_timeout);
        let targets = Arc::new(target::Client::new(
            instance.clone(),
            connect_timeout,
            snapshots.clone(),
            control.clone(),
        ));
        let options = Options::new(instance.clone(), settings.data_centre.clone(), rand::random());
        let handle = runtime.handle().clone();
        let state = Control::new(options, snapshots.clone(), targets, handle, log.clone());
        let control_thread = spawn_control(state, inbox)?;
        let shared = Arc::new(Shared {
            instance,
            data_centre: settings.data_centre.clone(),
            body_limit: settings.limits.body.get() as usize,
            snapshots,
            control: control.clone(),
            stopping: AtomicBool::new(false),
            next_caller: AtomicU64::new(1),
        });
        let servers = start_servers(settings, &runtime, &shared, &log)?;
        let client = Arc::new(platform::Client::new(
            settings.platform_address,
            duration(settings.limits.platform_timeout),
        ));
        let every = duration(settings.poll_interval);
        runtime.spawn(platform::poll(client, control.clone(), every, log.clone()));
        info!(log, "daemon: started"; "caller_address" => servers[0].local_addr());
        Ok(Self {
            runtime,
            control_thread,
            control,
            shared,
            servers,
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

    /// Makes a planned stop: no request in progress is cut off.
    pub fn stop(self) -> Result<(), error::Run> {
        let Self { runtime, control_thread, control, shared, servers, balancer_lag, log } = self;
        shared.stopping.store(true, Ordering::Relaxed);
        info!(log, "daemon: stopping"; "balancer_lag" => %balancer_lag);
        runtime.block_on(async {
            tokio::time::sleep(duration(balancer_lag)).await;
            control
                .send(Message::Event(verbenapass::engine::Event::Drain))
                .map_err(|_| error::Run::Control)?;
            while figures(&control).await?.open_jobs > 0 {
                tokio::time::sleep(STOP_POLL).await;
            }
            for server in servers {
                server.close().await.map_err(|message| error::Run::Output("server", message))?;
            }
            control.send(Message::Exit).map_err(|_| error::Run::Control)
        })?;
        control_thread.join().map_err(|_| error::Run::Control)?;
        info!(log, "daemon: stopped");
        Ok(())
    }
}

async fn figures(control: &Sender) -> Result<Figures, error::Run> {
    let (reply, figures) = oneshot::channel();
    control.send(Message::Inspect(reply)).map_err(|_| error::Run::Control)?;
    figures.await.map_err(|_| error::Run::Control)
}

fn spawn_control(
    state: Control,
    inbox: mpsc::UnboundedReceiver<Message>,
) -> Result<JoinHandle<()>, error::Run> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| error::Run::Setup("control thread", error))?;
    std::thread::Builder::new()
        .name("control".into())
        .spawn(move || runtime.block_on(LocalSet::new().run_until(state.run(inbox))))
        .map_err(|error| error::Run::Setup("control thread", error))
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
    let suffix = format!("{:08x}", rand::random::<u32>());
    // A name of the greatest length has no room for the suffix and is shortened.
    let room = id::MAX_LENGTH - suffix.len() - 1;
    let name = &name.as_str()[..name.as_str().len().min(room)];
    format!("{name}.{suffix}").parse().expect("a shortened id with hexadecimal digits is valid")
}

const fn duration(span: Millis) -> Duration {
    Duration::from_millis(span.get())
}
