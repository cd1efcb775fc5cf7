//! Tests of the stand-in platform: table, instance list, fault switches and settings.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use verbenapass_proto::platform::{
    Committed, Condition, Instance, List, Mark, Role, Row, Transaction, Write,
};
use verbenapass_standin::platform::{MarkChange, Server};
use verbenapass_standin::{settings, store, switch};

fn set_row(key: &str, version: u64, value: Option<&str>) -> Transaction {
    Transaction {
        conditions: vec![Condition { key: key.into(), version }],
        writes: vec![Write { key: key.into(), value: value.map(Into::into) }],
    }
}

async fn call<T: Serialize>(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &T,
) -> Result<(u16, Bytes), Error> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(Bytes::from(serde_json::to_vec(body).unwrap())))
        .unwrap();
    let response = client.request(request).await?;
    let status = response.status().as_u16();
    Ok((status, response.into_body().collect().await.unwrap().to_bytes()))
}

fn parse<T: DeserializeOwned>(bytes: &[u8]) -> T {
    serde_json::from_slice(bytes).unwrap()
}

fn instance(name: &str) -> Instance {
    Instance {
        name: name.into(),
        role: Role::Target,
        data_centre: "north".into(),
        address: "127.0.0.1:9".into(),
        mark: Mark::Live,
        service: "seats".into(),
        worker: "w1".into(),
        rack: "r1".into(),
        slots: 8,
        connections: 64,
        memory_bytes: 0,
        accelerators: 0,
    }
}

async fn server() -> Server {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let listener = |name: &str| settings::Listener { name: name.into(), address: any };
    Server::start(settings::Platform {
        control: any,
        listeners: vec![listener("north"), listener("south")],
        sync_ms: 1,
        parallel_writes: 2,
        rows: [("settings/fleet".into(), "{}".into())].into(),
        instances: vec![instance("t1")],
    })
    .await
    .unwrap()
}

/// Guards against partly applied transactions and against versions that restart after a deletion.
#[test]
fn table_transact_is_all_or_nothing() {
    let mut table = store::Table::default();
    assert!(table.transact(set_row("a", 0, Some("1"))).committed);
    let mut two_conditions = set_row("b", 0, Some("2"));
    two_conditions.conditions.push(Condition { key: "a".into(), version: 7 });
    let refused = table.transact(two_conditions);
    assert!(!refused.committed);
    assert_eq!(refused.rows, vec![table.row("a")]);
    assert_eq!(table.row("b").version, 0);

    assert!(table.transact(set_row("a", 1, None)).committed);
    assert_eq!(table.row("a"), Row { key: "a".into(), version: 2, value: None });
    assert!(table.scan("a").is_empty());
    assert!(!table.transact(set_row("a", 0, Some("3"))).committed);
    assert!(table.transact(set_row("a", 2, Some("3"))).committed);
    assert_eq!(table.row("a").version, 3);
}

/// Guards against a switch for lost replies that also drops the write.
#[tokio::test]
async fn switch_lost_reply_keeps_the_write() {
    let server = server().await;
    let address = server.addresses()[0];
    server.set_switches(switch::Platform { lose_replies: 1, ..Default::default() });
    let lost = call(address, "POST", "/v1/table/transact", &set_row("k", 0, Some("v"))).await;
    assert!(lost.is_err());
    let (_, row) = call(address, "GET", "/v1/table/row?key=k", &()).await.unwrap();
    assert_eq!(parse::<Row>(&row).value.as_deref(), Some("v"));
    let (status, body) =
        call(address, "POST", "/v1/table/transact", &set_row("k", 0, Some("w"))).await.unwrap();
    assert_eq!(status, 409);
    assert!(!parse::<Committed>(&body).committed);
    server.stop().await;
}

/// Guards against a cut that affects other listeners, or that stays after the switch is off.
#[tokio::test]
async fn switch_cut_refuses_one_listener() {
    let server = server().await;
    let (north, south) = (server.addresses()[0], server.addresses()[1]);
    let cut = switch::Platform { cut: vec!["north".into()], ..Default::default() };
    assert_eq!(call(server.control(), "PUT", "/v1/switches", &cut).await.unwrap().0, 204);
    // The listener closes shortly after the switch.
    while call(north, "GET", "/v1/instances", &()).await.is_ok() {}
    assert_eq!(call(south, "GET", "/v1/instances", &()).await.unwrap().0, 200);
    server.set_switches(switch::Platform::default());
    while call(north, "GET", "/v1/instances", &()).await.is_err() {}
    server.stop().await;
}

/// Guards against a frozen list that shows later changes of marks, or stays frozen.
#[tokio::test]
async fn switch_frozen_list_hides_marks() {
    let server = server().await;
    let address = server.addresses()[0];
    server.set_switches(switch::Platform { freeze_list: true, ..Default::default() });
    let mark = MarkChange { mark: Mark::Leaving };
    let path = "/v1/instances/t1/mark";
    assert_eq!(call(server.control(), "PUT", path, &mark).await.unwrap().0, 204);
    let (_, list) = call(address, "GET", "/v1/instances", &()).await.unwrap();
    assert_eq!(parse::<List>(&list).instances[0].mark, Mark::Live);
    server.set_switches(switch::Platform { list_unavailable: true, ..Default::default() });
    assert_eq!(call(address, "GET", "/v1/instances", &()).await.unwrap().0, 503);
    server.set_switches(switch::Platform::default());
    let (_, list) = call(address, "GET", "/v1/instances", &()).await.unwrap();
    assert_eq!(parse::<List>(&list).instances[0].mark, Mark::Leaving);
    server.stop().await;
}

/// Guards against an invalid setting that is accepted, or reported without its file and path.
#[test]
fn load_platform_names_the_bad_value() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("platform.yaml");
    let cases = [
        ("control: 127.0.0.1:1\nlisteners: []\n", "listeners is \"[]\", allowed is at least one"),
        ("control: 10.0.0.1:1\nlisteners: []\n", "control is \"10.0.0.1:1\", allowed is a loop"),
        ("control: 127.0.0.1:1\nlisteners: []\nsink: 1\n", "unknown field `sink`"),
    ];
    for (text, expected) in cases {
        std::fs::write(&file, text).unwrap();
        let message = settings::load_platform(&file).unwrap_err().to_string();
        assert!(message.contains(expected), "{message}");
        assert!(message.contains("platform.yaml"), "{message}");
    }
}
