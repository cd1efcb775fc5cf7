//! Cap'n Proto RPC server for the other entry instances (the peers), on the control thread.

use crate::answer::Reply;
use crate::check;
use crate::control::{Message, Response, Sender};
use crate::meter;
use crate::peer;
use crate::report;
use crate::trace::Tracer;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, new_client, twoparty};
use futures::AsyncReadExt;
use opentelemetry::trace::SpanKind;
use slog::{Logger, debug, warn};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, spawn_local};
use tokio_util::compat::TokioAsyncReadCompatExt;
use verbenapass::engine::Event;
use verbenapass::id;
use verbenapass_proto::peer_capnp::{answer, peer as wire};

/// Limit on open connections, several times the number of instances at the design size. Beyond it,
/// the oldest connection is closed.
const MAX_CONNECTIONS: usize = 1_024;
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Implementation of the `Peer` interface of `peer.capnp`; each connection has a clone.
#[derive(Clone)]
pub struct Server {
    /// Id of this incarnation of the instance.
    pub instance: id::Instance,
    /// Channel to the control thread.
    pub control: Sender,
    /// Next unused [`id::Caller`], shared with the HTTP servers of the instance.
    pub next_caller: Arc<AtomicU64>,
    /// Creates the spans of traced requests.
    pub tracer: Tracer,
    /// Logger for failed connections.
    pub log: Logger,
}

/// Accepts connections until the control thread ends. Must run in a [`tokio::task::LocalSet`].
pub async fn serve(listener: TcpListener, server: Server) {
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!(server.log, "peer: accept failed; retrying after a delay"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= MAX_CONNECTIONS
            && let Some(oldest) = open.pop_front()
        {
            // A peer that disappeared without closing its connection leaves it open here. A peer
            // that is still alive reconnects.
            oldest.abort();
        }
        let server = server.clone();
        let task = spawn_local(async move {
            let log = server.log.clone();
            if let Err(error) = serve_connection(stream, server).await {
                debug!(log, "peer: connection from a peer failed";
                    "address" => address, "error" => %error);
            }
        });
        open.push_back(task.abort_handle());
    }
}

async fn serve_connection(stream: TcpStream, server: Server) -> Result<(), capnp::Error> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.compat().split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    let client: wire::Client = new_client(server);
    RpcSystem::new(Box::new(network), Some(client.client)).await
}

impl Server {
    async fn call_control<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> Message,
    ) -> Result<T, capnp::Error> {
        let (reply, response) = oneshot::channel();
        let ended = |_| capnp::Error::disconnected("the instance has stopped".into());
        self.control.send(message(reply)).map_err(|_| ended(()))?;
        response.await.map_err(|_| ended(()))
    }

    async fn call_job(
        &self,
        job: id::Job,
        trace: &str,
        event: impl FnOnce(id::Caller) -> Event,
    ) -> Result<Reply, capnp::Error> {
        meter::message(meter::Kind::Job);
        let trace = check::trace(Some(trace.as_bytes()));
        let server_span = self.tracer.child("peer answer", SpanKind::Server, trace.as_deref());
        let trace = server_span.context(trace.as_ref());
        if job.owner != self.instance {
            // The owner is an earlier incarnation of this instance, which has ended, or another
            // instance whose old address the peer still uses.
            let is_earlier = peer::instance_name(&job.owner) == peer::instance_name(&self.instance);
            return Ok(if is_earlier {
                Reply::owner_gone(&job)
            } else {
                Reply::owner_unreachable(&job)
            });
        }
        let caller = id::Caller::new(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let event = event(caller);
        let span = self.tracer.child("control", SpanKind::Internal, trace.as_deref());
        let Response { job, status } =
            self.call_control(|reply| Message::Call { caller, event, reply, span }).await?;
        Ok(Reply::new(job.as_ref(), &status))
    }
}

fn write_answer(reply: &Reply, mut answer: answer::Builder<'_>) {
    answer.set_http_status(reply.status.as_u16());
    answer.set_json(&reply.body);
    answer.set_retry_at(reply.retry_at.map_or(0, |at| at.as_micros()));
}

impl wire::Server for Server {
    async fn report(
        self: Rc<Self>,
        params: wire::ReportParams,
        mut results: wire::ReportResults,
    ) -> Result<(), capnp::Error> {
        let report = Box::new(report::read(params.get()?.get_report()?)?);
        let own = self.call_control(|reply| Message::Exchange { report, reply }).await?;
        report::write(&own, results.get().init_report());
        Ok(())
    }

    async fn fetch_settings(
        self: Rc<Self>,
        params: wire::FetchSettingsParams,
        mut results: wire::FetchSettingsResults,
    ) -> Result<(), capnp::Error> {
        meter::message(meter::Kind::Settings);
        let known = report::read_in_force(params.get()?.get_known()?)?;
        let subtrees = self.call_control(|reply| Message::FetchSettings { known, reply }).await?;
        report::write_subtrees(&subtrees, results.get().init_subtrees(subtrees.len() as u32));
        Ok(())
    }

    async fn push_settings(
        self: Rc<Self>,
        params: wire::PushSettingsParams,
        mut results: wire::PushSettingsResults,
    ) -> Result<(), capnp::Error> {
        meter::message(meter::Kind::Settings);
        let params = params.get()?;
        let offer = peer::Offer {
            data_centre: report::parse(params.get_data_centre()?)?,
            revisions: report::read_subtrees(params.get_subtrees()?)?,
            digest: report::read_in_force(params.get_digest()?)?,
        };
        let message = |reply| Message::PushSettings { offer, reply };
        let in_force = self.call_control(message).await?;
        report::write_in_force(&in_force, results.get().init_in_force(in_force.len() as u32));
        Ok(())
    }

    async fn query_job(
        self: Rc<Self>,
        params: wire::QueryJobParams,
        mut results: wire::QueryJobResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let team = report::parse(params.get_team()?)?;
        let job: id::Job = report::parse(params.get_job()?)?;
        let queried = job.clone();
        let wait = params.get_wait();
        let reply = self
            .call_job(job, params.get_trace()?.to_str()?, |caller| Event::Query {
                caller,
                team,
                job: queried,
                wait,
            })
            .await?;
        write_answer(&reply, results.get().init_answer());
        Ok(())
    }

    async fn cancel_job(
        self: Rc<Self>,
        params: wire::CancelJobParams,
        mut results: wire::CancelJobResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let team = report::parse(params.get_team()?)?;
        let job: id::Job = report::parse(params.get_job()?)?;
        let cancelled = job.clone();
        let reply = self
            .call_job(job, params.get_trace()?.to_str()?, |caller| Event::Cancel {
                caller,
                team,
                job: cancelled,
            })
            .await?;
        write_answer(&reply, results.get().init_answer());
        Ok(())
    }
}
