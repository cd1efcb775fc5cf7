//! Tests of the stand-in target: answers, refusals, records and fault switches.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use verbenapass_proto::target::{Answer, DEADLINE, NOT_RUN, Payload, START};
use verbenapass_standin::switch::{Delivery, Silence};
use verbenapass_standin::target::Server;
use verbenapass_standin::{settings, switch};

type Caller = Client<HttpConnector, Full<Bytes>>;

fn caller() -> Caller {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn server(slots: u32, connections: u32) -> Server {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let target = settings::Target { name: "t1".into(), address: any, slots, connections };
    Server::start(settings::Targets { control: any, targets: vec![target] }).await.unwrap()
}

fn payload(run_us: u64, echo: &str) -> Payload {
    Payload { run_us, echo: echo.into(), ..Default::default() }
}

async fn start_task(
    caller: &Caller,
    server: &Server,
    start: &str,
    payload: &Payload,
) -> Result<http::Response<Bytes>, Box<dyn std::error::Error + Send + Sync>> {
    let request = http::Request::post(format!("http://{}/v1/tasks/{start}", server.addresses()[0]))
        .header(DEADLINE, u64::MAX)
        .body(Full::new(Bytes::from(serde_json::to_vec(payload)?)))?;
    let (parts, body) = caller.request(request).await?.into_parts();
    Ok(http::Response::from_parts(parts, body.collect().await?.to_bytes()))
}

async fn query_status(caller: &Caller, server: &Server, start: &str) -> u16 {
    let uri = format!("http://{}/v1/tasks/{start}", server.addresses()[0]);
    caller.get(uri.parse().unwrap()).await.unwrap().status().as_u16()
}

/// Guards against an answer without the id of the start or the text of the payload.
#[tokio::test]
async fn start_answers_with_echo() {
    let server = server(8, 64).await;
    let response = start_task(&caller(), &server, "e1.1", &payload(1_000, "a")).await.unwrap();
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()[START], "e1.1");
    let answer: Answer = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(answer.echo, "a");
    assert_eq!(query_status(&caller(), &server, "e1.1").await, 200);
    assert_eq!(query_status(&caller(), &server, "e1.2").await, 404);
    server.stop().await;
}

/// Guards against tasks that run without a free slot, after their deadline or while draining.
#[tokio::test]
async fn start_refuses_as_not_run() {
    let server = server(1, 64).await;
    let caller = caller();
    let slow = payload(60_000_000, "slow");
    let first = tokio::spawn({
        let (caller, slow) = (caller.clone(), slow.clone());
        let uri = format!("http://{}/v1/tasks/e1.1", server.addresses()[0]);
        let body = Full::new(Bytes::from(serde_json::to_vec(&slow).unwrap()));
        async move { caller.request(http::Request::post(uri).body(body).unwrap()).await }
    });
    while query_status(&caller, &server, "e1.1").await != 202 {}
    let busy = start_task(&caller, &server, "e1.2", &payload(0, "b")).await.unwrap();
    assert_eq!((busy.status().as_u16(), &busy.headers()[NOT_RUN]), (503, &"busy".parse().unwrap()));

    let uri = format!("http://{}/v1/tasks/e1.3", server.addresses()[0]);
    let request = http::Request::post(uri).header(DEADLINE, 1).body(Full::from("{}")).unwrap();
    let expired = caller.request(request).await.unwrap();
    assert_eq!(expired.headers()[NOT_RUN], "expired");

    server.set_switches(None, &switch::Target { draining: true, ..Default::default() });
    let draining = start_task(&caller, &server, "e1.4", &payload(0, "d")).await.unwrap();
    assert_eq!(draining.headers()[NOT_RUN], "draining");
    assert_eq!(server.runs().runs, 1);
    first.abort();
}

/// Guards against a second run of a start or payload that the summary does not report.
#[tokio::test]
async fn runs_show_doubles() {
    let server = server(8, 64).await;
    for (id, echo) in [("e1.1", "x"), ("e1.1", "y"), ("e1.2", "x")] {
        start_task(&caller(), &server, id, &payload(0, echo)).await.unwrap();
    }
    let runs = server.runs();
    assert_eq!(runs.runs, 3);
    assert_eq!(runs.double_starts, ["e1.1"]);
    assert_eq!(runs.double_echoes, ["x"]);
    server.stop().await;
}

/// Guards against a lost answer whose task did not run or has no outcome to query.
#[tokio::test]
async fn delivery_lost_runs_the_task() {
    let server = server(8, 64).await;
    server.set_switches(None, &switch::Target { delivery: Delivery::Lost, ..Default::default() });
    assert!(start_task(&caller(), &server, "e1.1", &payload(0, "a")).await.is_err());
    assert_eq!(query_status(&caller(), &server, "e1.1").await, 200);
    assert_eq!(server.runs().runs, 1);
}

/// Guards against a truncated answer that is received as complete, and against `wrong_start` answers
/// with the right id.
#[tokio::test]
async fn delivery_damages_the_answer() {
    let server = server(8, 64).await;
    server.set_switches(
        None,
        &switch::Target { delivery: Delivery::Truncated, ..Default::default() },
    );
    assert!(start_task(&caller(), &server, "e1.1", &payload(0, "a")).await.is_err());
    server.set_switches(
        None,
        &switch::Target { delivery: Delivery::WrongStart, ..Default::default() },
    );
    let wrong = start_task(&caller(), &server, "e1.2", &payload(0, "a")).await.unwrap();
    assert_ne!(wrong.headers()[START], "e1.2");
}

/// Guards against delivery `twice` that writes the answer only once.
#[tokio::test]
async fn delivery_twice_sends_two_answers() {
    let server = server(8, 64).await;
    server.set_switches(None, &switch::Target { delivery: Delivery::Twice, ..Default::default() });
    let mut stream = TcpStream::connect(server.addresses()[0]).await.unwrap();
    let body = serde_json::to_string(&payload(0, "a")).unwrap();
    let request = format!(
        "POST /v1/tasks/e1.1 HTTP/1.1\r\nhost: t\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = String::new();
    stream.read_to_string(&mut received).await.unwrap();
    assert_eq!(received.matches("x-start: e1.1").count(), 2, "{received}");
}

/// Guards against silence of existing connections that also affects new ones.
#[tokio::test]
async fn silence_existing_spares_new_connections() {
    let server = server(8, 64).await;
    let old = caller();
    start_task(&old, &server, "e1.1", &payload(0, "a")).await.unwrap();
    server.set_switches(None, &switch::Target { silence: Silence::Existing, ..Default::default() });
    let (unanswered, answered) = (payload(0, "b"), payload(0, "c"));
    let new = caller();
    let silent = start_task(&old, &server, "e1.2", &unanswered);
    tokio::select! {
        _ = silent => panic!("an existing connection answered"),
        result = start_task(&new, &server, "e1.3", &answered) => assert!(result.is_ok()),
    }
    let ran: Vec<String> = server.runs().records.into_iter().map(|run| run.echo).collect();
    assert_eq!(ran, ["a", "c"]);
}

/// Guards against tasks that run on connections over the limit.
#[tokio::test]
async fn connections_over_the_limit_are_refused() {
    let server = server(8, 1).await;
    let first = caller();
    start_task(&first, &server, "e1.1", &payload(0, "a")).await.unwrap();
    let refused = start_task(&caller(), &server, "e1.2", &payload(0, "b")).await.unwrap();
    assert_eq!(refused.headers()[NOT_RUN], "busy");
    assert_eq!(server.runs().counts.refused_connections, 1);
    start_task(&first, &server, "e1.3", &payload(0, "c")).await.unwrap();
}
