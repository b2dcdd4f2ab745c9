//! A client's connection with the segments of an Ethernet and a small window, as on a link that is not loopback.

use std::ffi::{c_int, c_void};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;
/// Bytes of a segment.
const SEGMENT: c_int = 1460;
/// Bytes that wait unread at the client.
const WINDOW: c_int = 8192;

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn connect(socket: c_int, address: *const c_void, length: u32) -> c_int;
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
}

fn check(result: c_int) -> io::Result<c_int> {
    if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) }
}

/// Connects to an IPv4 address.
pub fn connect_slowly(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else { return Err(io::ErrorKind::Unsupported.into()) };
    // SAFETY: the arguments are plain numbers; the descriptor is owned by the stream from here on.
    let stream = unsafe { TcpStream::from_raw_fd(check(socket(AF_INET, SOCK_STREAM, 0))?) };
    let descriptor = stream.as_raw_fd();
    for (level, name, value) in
        [(SOL_SOCKET, SO_RCVBUF, WINDOW), (IPPROTO_TCP, TCP_MAXSEG, SEGMENT)]
    {
        let value: *const c_int = &value;
        // SAFETY: the value is an integer that lives during the call.
        check(unsafe { setsockopt(descriptor, level, name, value.cast(), 4) })?;
    }
    // The layout of `sockaddr_in`.
    let mut name = [0_u8; 16];
    name[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    name[2..4].copy_from_slice(&address.port().to_be_bytes());
    name[4..8].copy_from_slice(&address.ip().octets());
    // SAFETY: the name has the stated length and lives during the call.
    check(unsafe { connect(descriptor, name.as_ptr().cast(), name.len() as u32) })?;
    Ok(stream)
}
