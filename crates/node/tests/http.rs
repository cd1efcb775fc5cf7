//! HTTP client against servers that don't answer.
//!
//! Guards against requests that a partition holds up and that reach the server after the client has
//! given them up, and against those that a paused process sends after their permission has expired.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use verbenapass::unit::Millis;
use verbenapass_node::clock;
use verbenapass_node::http::{Client, Error};

#[tokio::test]
async fn call_unanswered_connection_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 1_000];
        loop {
            match stream.read(&mut buffer).await {
                Ok(0) => return None,
                Ok(_) => {}
                Err(error) => return Some(error.kind()),
            }
        }
    });
    let request = Request::post("/").body(Full::new(Bytes::from_static(b"order"))).unwrap();
    let deadline = clock::now().plus(Millis::new(50));
    let answer = Client::new().call(address, request, deadline).await;
    assert!(matches!(answer, Err(Error::Unanswered(..))));
    let end = tokio::time::timeout(Duration::from_secs(10), server).await.unwrap().unwrap();
    // After an orderly close, TCP would go on to deliver what was written before.
    assert_eq!(end, Some(ErrorKind::ConnectionReset));
}

/// The process is paused while the connection opens, so that the permission has expired afterwards.
#[tokio::test]
async fn call_before_expired_while_connecting_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        // Ends when the client is dropped, by a reset or not.
        stream.read_to_end(&mut bytes).await.ok();
        bytes.len()
    });
    let client = Client::new();
    let request = Request::post("/").body(Full::new(Bytes::from_static(b"order"))).unwrap();
    let now = clock::now();
    let deadline = now.plus(Millis::new(10_000));
    let answer = client.call_before(address, request, now, deadline).await;
    assert!(matches!(answer, Err(Error::NotSent(..))), "{answer:?}");
    drop(client);
    let received = tokio::time::timeout(Duration::from_secs(10), server).await.unwrap().unwrap();
    assert_eq!(0, received);
}
