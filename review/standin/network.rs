//! The network between two zones: proxies on the paths from one zone to the other, which a cut makes
//! silent. Paths inside a zone, to the store and to clients are direct.
//!
//! Instances tell each other their addresses in the first frame of a connection. Like an address
//! translation, a proxy replaces these by the addresses that the receiver's zone uses; it changes
//! nothing else.

use crate::json::{self, Json};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a held path checks whether the cut has healed.
const CHECK: Duration = Duration::from_millis(2);

/// An instance or a worker: its zone, its own address and that of its proxy.
#[derive(Clone)]
struct Place {
    zone: String,
    direct: SocketAddr,
    proxy: SocketAddr,
}

#[derive(Clone, Default)]
pub struct Network {
    is_cut: Arc<AtomicBool>,
    /// Whether only the instances are cut off from each other.
    are_peers_cut: Arc<AtomicBool>,
    places: Arc<Mutex<HashMap<String, Place>>>,
}

impl Network {
    /// Cuts the zones off from each other, or heals the cut. Bytes that are on their way are held.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
        crate::record::log(if is_cut { "the zones are cut off" } else { "the cut heals" });
    }

    /// Cuts the instances of the zones off from each other, but not from the workers.
    pub fn set_peers_cut(&self, is_cut: bool) {
        self.are_peers_cut.store(is_cut, Ordering::SeqCst);
        let what = if is_cut { "are cut off from each other" } else { "reach each other again" };
        crate::record::log(format!("the instances {what}"));
    }

    /// Adds an instance (with `translates`) or a worker, with a proxy for the other zone.
    pub fn add(&self, name: &str, zone: &str, direct: SocketAddr, translates: bool) {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let proxy = listener.local_addr().expect("a bound address");
        let place = Place { zone: zone.to_owned(), direct, proxy };
        self.places().insert(name.to_owned(), place);
        let (network, zone) = (self.clone(), zone.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (network, zone) = (network.clone(), zone.clone());
                std::thread::spawn(move || network.carry(stream, direct, &zone, translates));
            }
        });
    }

    /// Returns the address of an instance or a worker for readers in a zone.
    pub fn address(&self, reader: &str, name: &str) -> Option<SocketAddr> {
        let places = self.places();
        let place = places.get(name)?;
        Some(if place.zone == reader { place.direct } else { place.proxy })
    }

    /// Replaces the address in a row of the store by the one for readers in a zone.
    pub fn translate_row(&self, reader: &str, name: &str, value: &mut Json) {
        let Some(address) = self.address(reader, name) else { return };
        let Json::Table(members) = value else { return };
        for field in ["addr", "address"] {
            if let Some(value) = members.get_mut(field) {
                *value = json::text(address.to_string());
            }
        }
    }

    /// Carries a connection from the other zone to `direct` in `zone`.
    fn carry(&self, dialer: TcpStream, direct: SocketAddr, zone: &str, translates: bool) {
        // A connection that is given up during a cut never reaches the other side.
        while self.is_held(translates) {
            std::thread::sleep(CHECK);
            if is_given_up(&dialer) {
                return;
            }
        }
        let Ok(server) = TcpStream::connect(direct) else { return };
        let (Ok(dialer_end), Ok(server_end)) = (dialer.try_clone(), server.try_clone()) else {
            return;
        };
        dialer.set_nodelay(true).ok();
        server.set_nodelay(true).ok();
        let other = self.places().values().find(|place| place.zone != zone).map(|p| p.zone.clone());
        let (network, other) = (self.clone(), other.unwrap_or_default());
        std::thread::spawn(move || network.copy(server, dialer, &other, translates));
        self.copy(dialer_end, server_end, zone, translates);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, receiver: &str, translates: bool) {
        let mut buffer = [0; 65_536];
        loop {
            let bytes = match translates {
                true => read_frame(&mut from).map(|frame| self.translate(frame, receiver)),
                false => match from.read(&mut buffer) {
                    Ok(length) if length > 0 => Some(buffer[..length].to_vec()),
                    _ => None,
                },
            };
            let was_held = self.wait(translates);
            let Some(bytes) = bytes else { break };
            // Bytes that a cut holds up are lost if their sender resets the connection.
            if was_held && !is_open(&from) {
                break;
            }
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        from.shutdown(Shutdown::Both).ok();
        to.shutdown(Shutdown::Both).ok();
    }

    /// Returns whether a path between instances (with `translates`) or to a worker is cut.
    fn is_held(&self, translates: bool) -> bool {
        self.is_cut.load(Ordering::SeqCst)
            || translates && self.are_peers_cut.load(Ordering::SeqCst)
    }

    /// Waits while a path is cut. Returns whether it was.
    fn wait(&self, translates: bool) -> bool {
        let was_held = self.is_held(translates);
        while self.is_held(translates) {
            std::thread::sleep(CHECK);
        }
        was_held
    }

    /// Replaces the addresses in a hello, the frame with the number 0; returns a frame with its length.
    fn translate(&self, frame: Vec<u8>, receiver: &str) -> Vec<u8> {
        let hello = (frame.first() == Some(&0)).then(|| self.translate_hello(&frame, receiver));
        let frame = hello.flatten().unwrap_or(frame);
        let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
        bytes.extend(frame);
        bytes
    }

    /// The fields of a hello: name, zone, processor share, address, three numbers, a flag, and a list
    /// of names with addresses.
    fn translate_hello(&self, frame: &[u8], receiver: &str) -> Option<Vec<u8>> {
        let mut fields = Fields { bytes: frame, at: 1, copied: vec![0] };
        let name = fields.text()?;
        fields.text()?;
        fields.number()?;
        self.translate_address(&mut fields, receiver, &name)?;
        for _ in 0..3 {
            fields.number()?;
        }
        fields.skip(1)?;
        for _ in 0..fields.number()? {
            let name = fields.text()?;
            self.translate_address(&mut fields, receiver, &name)?;
        }
        Some(fields.copied)
    }

    fn translate_address(&self, fields: &mut Fields<'_>, receiver: &str, name: &str) -> Option<()> {
        let start = fields.copied.len();
        // The kind of the address, its four bytes and its port.
        fields.skip(5)?;
        fields.number()?;
        if let Some(SocketAddr::V4(address)) = self.address(receiver, name) {
            fields.copied.truncate(start);
            fields.copied.push(0);
            fields.copied.extend(address.ip().octets());
            fields.put_number(u64::from(address.port()));
        }
        Some(())
    }

    fn places(&self) -> std::sync::MutexGuard<'_, HashMap<String, Place>> {
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The argument of `poll`.
#[repr(C)]
struct Poll {
    socket: i32,
    events: i16,
    happened: i16,
}

unsafe extern "C" {
    fn poll(sockets: *mut Poll, count: u64, timeout_ms: i32) -> i32;
}

/// The events of a connection that the other end has closed, reset or left.
const CLOSED: i16 = 0x2000 | 0x10 | 0x8;

/// Returns whether the other end has closed a connection, also if unread bytes are left.
fn is_given_up(stream: &TcpStream) -> bool {
    let mut sockets = Poll { socket: stream.as_raw_fd(), events: CLOSED, happened: 0 };
    // The pointer is to one entry, and the socket is open as long as `stream` lives.
    unsafe { poll(&mut sockets, 1, 0) > 0 }
}

/// Returns whether the other end has not reset a connection.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.take_error(), Ok(None))
}

fn read_frame(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut frame).ok()?;
    Some(frame)
}

/// Reads the fields of a frame and copies them.
struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
    copied: Vec<u8>,
}

impl Fields<'_> {
    fn skip(&mut self, count: usize) -> Option<&[u8]> {
        let part = self.bytes.get(self.at..self.at + count)?;
        self.at += count;
        self.copied.extend(part);
        Some(part)
    }

    /// Reads a number of seven bits a byte, the lowest first.
    fn number(&mut self) -> Option<u64> {
        let (mut number, mut shift) = (0, 0);
        loop {
            let byte = *self.skip(1)?.first()?;
            number |= u64::from(byte & 0x7f) << shift;
            shift += 7;
            if byte < 0x80 {
                return Some(number);
            }
        }
    }

    fn put_number(&mut self, mut number: u64) {
        while number >= 0x80 {
            self.copied.push(number as u8 | 0x80);
            number >>= 7;
        }
        self.copied.push(number as u8);
    }

    fn text(&mut self) -> Option<String> {
        let length = self.number()? as usize;
        String::from_utf8(self.skip(length)?.to_vec()).ok()
    }
}
