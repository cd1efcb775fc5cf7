//! Format of log records and overflow of the log buffer.

use slog::info;
use verbenapass_node::log;

#[test]
fn buffered_one_line_each() {
    let (logger, buffer) = log::buffered("e-1");
    info!(logger, "job: answered"; "request" => "00ff");
    info!(logger, "job: answered"; "request" => "01ff");
    let (bytes, dropped) = buffer.take();
    let text = String::from_utf8(bytes).unwrap();
    assert_eq!(text.lines().count(), 2);
    assert!(text.lines().all(|line| line.starts_with('{') && line.ends_with('}')));
    assert!(text.contains("\"request\":\"00ff\"") && text.contains("\"instance\":\"e-1\""));
    assert_eq!(dropped, 0);
}

#[test]
fn buffered_full_records_dropped_and_counted() {
    let (logger, buffer) = log::buffered("e-1");
    for number in 0..10_000 {
        info!(logger, "job: answered"; "request" => number);
    }
    let (bytes, dropped) = buffer.take();
    let lines = String::from_utf8(bytes).unwrap().lines().count() as u64;
    assert!(dropped > 0);
    assert_eq!(lines + dropped, 10_000);
}
