//! A client that reads slowly, over a path with small segments and a small receive buffer, as a phone has.

use std::ffi::c_void;
use std::io;
use std::net::{SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: u16 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// Size of the receive buffer, in bytes.
const RECEIVE_BUFFER: i32 = 4_096;

/// Size of the segments, in bytes: that of an ordinary network, where the loopback has 64 KB.
const SEGMENT: i32 = 1_400;

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

/// Opens such a connection.
pub fn open(address: SocketAddrV4) -> io::Result<TcpStream> {
    let peer = SocketAddress {
        family: AF_INET,
        port: address.port().to_be(),
        address: u32::from(*address.ip()).to_be(),
        zero: [0; 8],
    };
    // SAFETY: the arguments are those of the C library's functions, and the pointers are to live values.
    unsafe {
        let descriptor = socket(i32::from(AF_INET), SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        for (level, name, value) in [
            (SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER),
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT),
        ] {
            let value: *const i32 = &raw const value;
            if setsockopt(descriptor, level, name, value.cast(), 4) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        if connect(descriptor, &raw const peer, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
